"""Which targets this member asks for their load.

Not every member asks every target: that would cost each daemon a share of a core that
grows with the fleet. Each target has a few watchers, and what they learn of leaving
targets reaches the others with the heartbeats.
"""

from burdockhaven_core.configuration import TargetSpec
from burdockhaven_core.entry_state import EntryState
from burdockhaven_core.rendezvous import pick_members

# Members that ask each target; two, so that one crash delays nothing.
POLLERS_PER_TARGET = 2


def targets_to_poll(state: EntryState, now: float) -> tuple[TargetSpec, ...]:
    """The targets that this member is to ask for their load."""
    member_id = state.parameters.member_id
    members = (member_id, *(view.member for view in state.membership.live(now)))
    return tuple(
        target.spec
        for name, target in state.targets.states.items()
        if member_id in pick_members(name, members, POLLERS_PER_TARGET)
    )
