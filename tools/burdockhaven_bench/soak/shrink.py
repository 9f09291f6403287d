"""Shrinks a plan that breaks a rule to a smaller one that still breaks it.

Faults are dropped one by one, then the rest is moved together and shortened. Each
candidate is played, and kept if the rule is still broken. A plan that breaks a rule in
some of its runs only may therefore end larger than it could be.
"""

from collections.abc import Callable
from dataclasses import dataclass, replace

from burdockhaven_bench.soak.plan import QUIET_S, Plan, PlannedFault

# Plays a plan and returns whether it still breaks the rule.
IsBroken = Callable[[Plan], bool]
# Seconds below which durations and gaps are not shortened any further.
MIN_SHORTENED_S = 0.2


@dataclass(frozen=True, slots=True)
class ShrunkPlan:
    """The smallest plan that was found."""

    plan: Plan
    # Plans that were played.
    plays: int


def shrink(plan: Plan, is_broken: IsBroken, max_plays: int) -> ShrunkPlan:
    """Shrink a plan that breaks a rule, by playing `max_plays` plans at most."""
    plays = 0

    def is_still_broken(candidate: Plan) -> bool:
        nonlocal plays
        if plays >= max_plays:
            return False
        plays += 1
        return is_broken(candidate)

    plan = _drop_faults(plan, is_still_broken)
    plan = _trim(plan, is_still_broken)
    plan = _shorten_gaps(plan, is_still_broken)
    plan = _shorten_faults(plan, is_still_broken)
    return ShrunkPlan(plan, plays)


def _drop_faults(plan: Plan, is_broken: IsBroken) -> Plan:
    """Drop faults, latest first, until none can be dropped."""
    is_smaller = True
    while is_smaller:
        is_smaller = False
        # By position, since two faults may be equal.
        for position in reversed(range(len(plan.faults))):
            rest = plan.faults[:position] + plan.faults[position + 1 :]
            candidate = replace(plan, faults=rest)
            if is_broken(candidate):
                plan, is_smaller = candidate, True
    return plan


def _trim(plan: Plan, is_broken: IsBroken) -> Plan:
    """Cut off the time after the last fault and the time before the first one."""
    last_s = max((f.at_s + f.duration_s for f in plan.faults), default=0.0)
    end_s = last_s + QUIET_S
    if end_s < plan.duration_s:
        candidate = replace(plan, duration_s=end_s)
        if is_broken(candidate):
            plan = candidate
    first_s = plan.faults[0].at_s - QUIET_S if plan.faults else 0.0
    if first_s > 0:
        candidate = _move(plan, 0, first_s)
        if is_broken(candidate):
            plan = candidate
    return plan


def _shorten_gaps(plan: Plan, is_broken: IsBroken) -> Plan:
    """Halve the time between two faults for as long as the rule is broken."""
    for position in range(1, len(plan.faults)):
        while True:
            gap_s = plan.faults[position].at_s - plan.faults[position - 1].at_s
            candidate = _move(plan, position, gap_s / 2)
            if gap_s < MIN_SHORTENED_S or not is_broken(candidate):
                break
            plan = candidate
    return plan


def _shorten_faults(plan: Plan, is_broken: IsBroken) -> Plan:
    """Halve the duration of each fault for as long as the rule is broken."""
    for position, fault in enumerate(plan.faults):
        while fault.duration_s >= MIN_SHORTENED_S:
            fault = replace(fault, duration_s=fault.duration_s / 2)
            candidate = _replace_fault(plan, position, fault)
            if not is_broken(candidate):
                break
            plan = candidate
    return plan


def _move(plan: Plan, position: int, by_s: float) -> Plan:
    """Return the plan with the faults from a position on, and its end, earlier."""
    moved = (replace(f, at_s=f.at_s - by_s) for f in plan.faults[position:])
    faults = (*plan.faults[:position], *moved)
    return replace(plan, duration_s=plan.duration_s - by_s, faults=faults)


def _replace_fault(plan: Plan, position: int, fault: PlannedFault) -> Plan:
    faults = (*plan.faults[:position], fault, *plan.faults[position + 1 :])
    return replace(plan, faults=faults)
