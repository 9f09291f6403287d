"""Seals on messages between entry processes."""

import pytest

from burdockhaven_entry.message_seal import SealError, derive_key, seal, unseal

KEY = derive_key(b"the assignment key")


def test_a_sealed_message_is_opened_with_the_same_key():
    assert unseal(seal(b"data", KEY), KEY) == b"data"


@pytest.mark.parametrize(
    "sealed",
    [b"", b"data", seal(b"data", derive_key(b"other")), seal(b"data", KEY) + b"x"],
)
def test_anything_else_is_refused(sealed):
    with pytest.raises(SealError):
        unseal(sealed, KEY)
