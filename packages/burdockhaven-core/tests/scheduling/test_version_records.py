import math

import pytest
from scheduling_samples import ENGINES, target

from burdockhaven_core.scheduling.stream_origins import NO_SOLE_VERSION
from burdockhaven_core.scheduling.version_records import (
    RecordReading,
    ServiceVersions,
    VersionHold,
    VersionRecord,
    VersionRecordError,
    decode_version_record,
    encode_version_record,
    recorded_version,
    updated_record,
)

WINDOW_S = 30.0


def versions(*names):
    return frozenset(names)


def record(*names, retiring=(), is_complete=True, era=1):
    return VersionRecord(era, versions(*names), versions(*retiring), is_complete)


def known(present=("v1",), recent=None, **changes):
    values = {"complete_for_s": WINDOW_S, "known_for_s": 0.0, "unchanged_for_s": 0.0}
    names = present if recent is None else recent
    return ServiceVersions(versions(*present), versions(*names), **(values | changes))


@pytest.mark.parametrize(
    ("current", "member", "expected"),
    [
        # Nothing changes.
        (record("v1"), known(), record("v1")),
        # A record without a predecessor may lack versions, but not at the first start.
        (None, known(), record("v1", is_complete=False)),
        (None, known(complete_for_s=math.inf), record("v1")),
        # A copy of an older store may lack versions, and so may a member that reads it.
        (
            record("v1", era=0),
            known(("v2",), complete_for_s=math.inf),
            record("v1", "v2", is_complete=False),
        ),
        (
            record("v1", is_complete=False),
            known(known_for_s=WINDOW_S - 1),
            record("v1", is_complete=False),
        ),
        (record("v1", is_complete=False), known(known_for_s=WINDOW_S), record("v1")),
        (
            record("v1", is_complete=False),
            known(known_for_s=WINDOW_S, complete_for_s=WINDOW_S - 1),
            record("v1", is_complete=False),
        ),
        # A new version is added at once.
        (record("v1"), known(("v1", "v2")), record("v1", "v2")),
        (
            record("v1"),
            known(("v1", "v2"), complete_for_s=0.1),
            record("v1", "v2"),
        ),
        # One that has gone stays for the window, and then is removed in two steps.
        (record("v1", "v2"), known(("v2",), ("v1", "v2")), record("v1", "v2")),
        (record("v1", "v2"), known(("v2",), complete_for_s=9.0), record("v1", "v2")),
        (record("v1", "v2"), known(("v2",)), record("v1", "v2", retiring=("v1",))),
        (
            record("v1", "v2", retiring=("v1",)),
            known(("v2",), unchanged_for_s=WINDOW_S - 1),
            record("v1", "v2", retiring=("v1",)),
        ),
        (
            record("v1", "v2", retiring=("v1",)),
            known(("v2",), unchanged_for_s=WINDOW_S),
            record("v2"),
        ),
        # It is kept if it returns in between.
        (
            record("v1", "v2", retiring=("v1",)),
            known(("v1", "v2"), unchanged_for_s=WINDOW_S),
            record("v1", "v2"),
        ),
    ],
)
def test_updated_record(current, member, expected):
    assert updated_record(current, 1, member, WINDOW_S) == expected


def test_record_survives_encoding():
    sample = record("v1", "v2", retiring=("v1",))
    assert decode_version_record(encode_version_record(sample)) == sample
    for data in (b"", b"{}", b"[]", b'{"era":1,"versions":"v1"}', b"\xff"):
        with pytest.raises(VersionRecordError):
            decode_version_record(data)


@pytest.mark.parametrize(
    ("current", "era", "expected"),
    [
        (record("v1"), 1, True),
        (record("v1"), 2, False),
        (record("v1", is_complete=False), 1, False),
    ],
)
def test_record_of_another_era_is_not_valid(current, era, expected):
    assert current.is_valid(era) is expected


@pytest.mark.parametrize(
    ("current", "observed", "expected"),
    [
        (record("v1"), (), "v1"),
        (record("v1"), ("v1",), "v1"),
        (record("v1"), ("v2",), NO_SOLE_VERSION),
        (record("v1", "v2"), ("v1",), NO_SOLE_VERSION),
        (record(), ("v1",), "v1"),
        (record(), (), None),
        (record("v1", "v2", retiring=("v2",)), ("v1",), None),
        (record("v1", "v2", retiring=("v2",)), ("v2",), NO_SOLE_VERSION),
    ],
)
def test_recorded_version(current, observed, expected):
    sole = recorded_version(RecordReading(current, True), versions(*observed))
    if isinstance(expected, str):
        assert sole is not None and sole.is_certain
        assert sole.software_version == expected
    else:
        assert sole == expected


def usable(hold, *software_versions, draining=(), leaving=()):
    entries = {
        f"i-{version}": target(
            f"i-{version}", software_version=version, draining=version in draining
        )
        for version in software_versions
    }
    found = hold.usable(entries, {f"i-{version}" for version in leaving})
    return {entry.software_version for entry in found.values()}


# Guards against ORDER: streams begin at a version that no record names.
def test_new_version_is_held_until_it_is_recorded():
    hold = VersionHold()
    hold.services = frozenset({ENGINES})
    assert usable(hold, "v1") == {"v1"}
    assert usable(hold, "v1", "v2") == {"v1"}
    assert hold.confirm(ENGINES, {"v1", "v2"})
    assert not hold.confirm(ENGINES, {"v1", "v2"})
    assert usable(hold, "v1", "v2") == {"v1", "v2"}


# Guards against LOST: the store refuses writes, and only held versions are left.
@pytest.mark.parametrize("end", ["draining", "leaving"])
def test_new_versions_are_used_if_no_other_is_open(end):
    hold = VersionHold()
    hold.services = frozenset({ENGINES})
    assert usable(hold, "v1") == {"v1"}
    assert usable(hold, "v1", "v2", **{end: ("v1",)}) == {"v1", "v2"}
    # It isn't taken away from its runs again.
    assert usable(hold, "v1", "v2") == {"v1", "v2"}


# Guards against ORDER: a version that returns after its record was removed.
def test_version_that_was_forgotten_is_held_again():
    hold = VersionHold()
    hold.services = frozenset({ENGINES})
    hold.confirm(ENGINES, {"v1", "v2"})
    hold.retain({(ENGINES, "v2")})
    assert usable(hold, "v1", "v2") == {"v2"}


def test_versions_of_other_services_are_not_held():
    hold = VersionHold()
    assert usable(hold, "v1", "v2") == {"v1", "v2"}
    hold.services = frozenset({"other"})
    assert usable(hold, "v1", "v2", "v3") == {"v1", "v2", "v3"}
