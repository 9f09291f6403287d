"""Message authentication codes on messages between members."""

import pytest

from burdockhaven_entry.message_mac import MacError, add_mac, derive_key, verify_mac

KEY = derive_key(b"the assignment key")


def test_a_message_verifies_with_the_same_key():
    assert verify_mac(add_mac(b"data", KEY), KEY) == b"data"


@pytest.mark.parametrize(
    "authenticated",
    [
        b"",
        b"data",
        add_mac(b"data", derive_key(b"other")),
        add_mac(b"data", KEY) + b"x",
    ],
)
def test_a_missing_or_wrong_mac_is_rejected(authenticated):
    with pytest.raises(MacError):
        verify_mac(authenticated, KEY)
