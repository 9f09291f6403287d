import pytest
from scheduling_samples import ENGINES, target

from burdockhaven_core.scheduling.target_registry import RETURN_GRACE_S, TargetRegistry


def names(registry):
    return {entry.id for entry in registry.open_targets(ENGINES)}


def test_a_removed_target_is_gone_at_once_while_the_store_is_steady():
    registry = TargetRegistry()
    registry.put(target())
    registry.remove("i-1", 10.0)
    assert names(registry) == set()


def test_an_entry_that_lapsed_in_an_outage_is_kept_until_it_counts_as_gone():
    registry = TargetRegistry()
    registry.put(target("i-1"))
    registry.put(target("i-2"))
    registry.store_returned(10.0)
    registry.replace([], 10.1)
    assert names(registry) == {"i-1", "i-2"}
    registry.put(target("i-2", sequence=2))
    registry.expire(10.0 + RETURN_GRACE_S + 0.01)
    assert names(registry) == {"i-2"}


@pytest.mark.parametrize(
    ("late", "stays_out"),
    [
        (target(sequence=4), True),
        (target(sequence=9), True),
        (target(sequence=1, born_ms=2), False),
    ],
)
def test_a_late_write_does_not_bring_a_draining_target_back(late, stays_out):
    registry = TargetRegistry()
    registry.put(target(sequence=5, draining=True))
    registry.put(late)
    assert names(registry) == (set() if stays_out else {"i-1"})


def test_an_older_write_after_the_removal_is_ignored():
    registry = TargetRegistry()
    registry.put(target(sequence=5))
    registry.remove("i-1", 0.0)
    assert registry.put(target(sequence=4)) is False
    assert names(registry) == set()


def test_a_target_that_leaves_takes_no_work_until_it_starts_anew():
    registry = TargetRegistry()
    registry.put(target())
    registry.mark_leaving("i-1")
    registry.put(target(sequence=2))
    assert names(registry) == set()
    registry.put(target(sequence=1, born_ms=9))
    assert names(registry) == {"i-1"}


def test_an_unreadable_entry_names_no_target():
    registry = TargetRegistry()
    registry.put(target())
    registry.discard("i-1", 0.0)
    registry.discard("i-unknown", 0.0)
    assert names(registry) == set()


def test_members_that_cannot_read_the_store_are_told_what_leaves():
    registry = TargetRegistry()
    for name in ("i-1", "i-2", "i-3", "i-4"):
        registry.put(target(name))
    registry.put(target("i-1", sequence=2, draining=True))
    registry.remove("i-2", 0.0)
    registry.mark_leaving("i-3")
    assert set(registry.known_to_leave(1.0)) == {"i-1", "i-2", "i-3"}
    assert not any(registry.takes_work(name) for name in ("i-1", "i-2", "i-3"))
    assert registry.takes_work("i-4")
    assert registry.takes_work("i-not-known-here")


def test_a_second_outage_gives_a_lapsed_entry_time_again():
    """It was dropped 2.2 s after the first return, with the store away again."""
    registry = TargetRegistry()
    registry.put(target("i-1"))
    registry.store_returned(0.0)
    registry.replace([], 0.0)
    registry.store_lost()
    registry.expire(RETURN_GRACE_S + 1.0)
    assert registry.takes_work("i-1") and "i-1" in registry.entries
    registry.store_returned(10.0)
    registry.replace([], 10.0)
    registry.expire(10.0 + RETURN_GRACE_S + 0.1)
    assert "i-1" not in registry.entries
