"""Shrinking of plans, with conditions in place of runs."""

import pytest

from burdockhaven_bench.soak.history import FaultKind
from burdockhaven_bench.soak.plan import EXTRA, QUIET_S, Plan, read_plan, write_plan
from burdockhaven_bench.soak.shrink import MIN_SHORTENED_S, shrink

MANY_PLAYS = 10_000
SEEDS = range(1, 11)


def draw(seed):
    return Plan.from_seed(seed, 300.0, daemons=3, extra=frozenset(EXTRA))


def has_kinds(*kinds):
    """Return a condition: the plan has a fault of each of these kinds, in order."""

    def is_broken(plan):
        rest = iter(fault.kind for fault in plan.faults)
        return all(kind in rest for kind in kinds)

    return is_broken


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize(
    "kinds",
    [
        (),
        (FaultKind.KILL,),
        (FaultKind.CONFIGURE, FaultKind.HANGUP),
        (FaultKind.STOP, FaultKind.STOP, FaultKind.TAINTED_PART),
    ],
)
def test_only_the_faults_that_matter_are_kept(seed, kinds):
    is_broken, plan = has_kinds(*kinds), draw(seed)
    assert is_broken(plan)
    shrunk = shrink(plan, is_broken, MANY_PLAYS)
    assert tuple(fault.kind for fault in shrunk.plan.faults) == kinds
    assert shrunk.plan.seed == plan.seed
    assert is_broken(shrunk.plan)


@pytest.mark.parametrize("seed", SEEDS)
def test_fault_that_can_be_dropped_only_after_another_one(seed):
    def is_broken(candidate):
        kinds = {fault.kind for fault in candidate.faults}
        return FaultKind.FREEZE in kinds and (
            FaultKind.STORE_DOWN in kinds or FaultKind.KILL not in kinds
        )

    plan = draw(seed)
    assert {FaultKind.STORE_DOWN, FaultKind.KILL} <= {f.kind for f in plan.faults}
    assert is_broken(plan)
    (freeze,) = shrink(plan, is_broken, MANY_PLAYS).plan.faults
    assert freeze.kind is FaultKind.FREEZE


def test_rest_is_moved_together_and_shortened():
    kinds = (FaultKind.FREEZE, FaultKind.STORE_SLOW)
    is_broken = has_kinds(*kinds)
    freeze, slow = shrink(draw(1), is_broken, MANY_PLAYS).plan.faults
    assert freeze.at_s == pytest.approx(QUIET_S)
    assert 0 <= slow.at_s - freeze.at_s < MIN_SHORTENED_S
    assert freeze.duration_s < MIN_SHORTENED_S > slow.duration_s


def test_times_that_matter_are_kept():
    def lasts(plan, kind, duration_s):
        return any(
            fault.kind is kind and fault.duration_s >= duration_s
            for fault in plan.faults
        )

    def is_broken(plan):
        return lasts(plan, FaultKind.FREEZE, 1.0) and plan.duration_s >= 20.0

    plan = draw(1)
    assert is_broken(plan)
    shrunk = shrink(plan, is_broken, MANY_PLAYS).plan
    assert is_broken(shrunk)
    (freeze,) = shrunk.faults
    assert 1.0 <= freeze.duration_s < 2.0


@pytest.mark.parametrize("seed", SEEDS)
def test_each_kept_plan_was_played_and_broken(seed):
    plan = draw(seed)
    broken = [plan]

    def is_broken(candidate):
        # As in runs that break a rule only now and then.
        result = has_kinds(FaultKind.KILL)(candidate) and len(played) % 3 > 0
        played.append(candidate)
        if result:
            broken.append(candidate)
        return result

    played = []
    shrunk = shrink(plan, is_broken, MANY_PLAYS)
    assert shrunk.plan == broken[-1]
    assert shrunk.plays == len(played)
    for candidate in played:
        times = [fault.at_s for fault in candidate.faults]
        assert times == sorted(times)
        assert all(QUIET_S <= at_s <= candidate.duration_s for at_s in times)


@pytest.mark.parametrize("max_plays", [0, 1, 7])
def test_number_of_plays_is_bounded(max_plays):
    plan, played = draw(1), []

    def is_broken(candidate):
        played.append(candidate)
        return True

    shrunk = shrink(plan, is_broken, max_plays)
    assert shrunk.plays == len(played) == max_plays
    assert shrunk.plan == [plan, *played][-1]


def test_plan_is_read_as_it_was_written(tmp_path):
    plan = draw(1)
    write_plan(plan, tmp_path / "plan.json")
    assert read_plan(tmp_path / "plan.json") == plan
