import pytest
from scheduling_samples import target
from test_placement_client import requirements

from burdockhaven_core.scheduling.peer_messages import StreamOrigin
from burdockhaven_entry.gateway.placement_client import Placement, PlacementRefused
from burdockhaven_entry.gateway.stream_continuation import (
    continue_at,
    has_granted_version,
    refusal_detail,
    refusal_reason,
    resume_at,
)


# Guards against ORDER: an engine starts again under its id with another version, and
# the broker or this member still takes it for what it was.
@pytest.mark.parametrize(
    ("needed", "entry_version", "granted_version", "expected"),
    [
        ("", "v1", "v1", True),
        ("", None, "v1", True),
        ("", "v1", "", True),
        ("", "v1", "v2", False),
        ("v1", "v1", "v1", True),
        ("v1", "v1", "", True),
        ("v1", None, "v1", True),
        ("v1", "v2", "v2", False),
        ("v1", "v1", "v2", False),
        ("v1", "v2", "v1", False),
        ("v1", None, "v2", False),
        # An unknown version is not a match.
        ("v1", None, "", False),
        ("v1", "", "", False),
    ],
)
def test_granted_target_is_checked_against_both_views(
    needed, entry_version, granted_version, expected
):
    entry = None
    if entry_version is not None:
        entry = target("i-1", software_version=entry_version)
    placement = Placement(1, "i-1", software_version=granted_version)
    needs = requirements(software_version=needed)
    assert has_granted_version(entry, placement, needs) is expected


def test_continuation_is_placed_at_the_origin():
    needs = continue_at(requirements(), StreamOrigin("other", "v2"))
    assert (needs.service, needs.software_version) == ("other", "v2")


# Guards against LOST: new streams take the engines of a version of which there are few,
# and the streams that need them wait behind.
def test_resumed_stream_goes_ahead_of_new_ones():
    needs = resume_at(requirements(), StreamOrigin("other", "v2"))
    assert (needs.service, needs.software_version) == ("other", "v2")
    assert needs.is_retry


@pytest.mark.parametrize(
    ("refused", "reason", "detail"),
    [
        (PlacementRefused(True, 1.0), "quota exceeded", "quota"),
        (PlacementRefused(False, 1.0), "overloaded", "within the deadline"),
        (PlacementRefused(False, 1.0, True), "software version gone", "version"),
    ],
)
def test_refusals_say_what_is_missing(refused, reason, detail):
    assert refusal_reason(refused) == reason
    assert detail in refusal_detail(refused)
