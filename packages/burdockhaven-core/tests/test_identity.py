"""Derivation of run identities from request identities."""

import pytest

from burdockhaven_core.identity import RequestId


@pytest.mark.parametrize(
    ("first", "second"),
    [
        (RequestId("a", "1"), RequestId("a", "2")),
        (RequestId("a", "1"), RequestId("b", "1")),
        (RequestId("a", "bc"), RequestId("ab", "c")),
    ],
)
def test_different_requests_have_different_runs(first, second):
    assert first.run_id != second.run_id


def test_a_request_has_the_same_run_on_every_entry():
    assert RequestId("a", "1").run_id == RequestId("a", "1").run_id
