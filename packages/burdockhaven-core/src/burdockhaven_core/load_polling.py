"""Load polling: assigns each target to a few members by rendezvous hashing.

If every member polled every target, the CPU time for polling would grow with the fleet
at each daemon. Instead each target has a small number of pollers, whose findings about
leaving targets reach the other members by gossip in heartbeats.
"""

from burdockhaven_core.configuration import TargetSpec
from burdockhaven_core.entry_state import EntryState
from burdockhaven_core.rendezvous import pick_members

# Two pollers, so that the crash of one member does not delay the detection of a leaving
# target.
POLLERS_PER_TARGET = 2


def targets_to_poll(state: EntryState, now: float) -> tuple[TargetSpec, ...]:
    """Return the targets whose load this member polls."""
    member_id = state.parameters.member_id
    members = (member_id, *(view.member for view in state.membership.live(now)))
    return tuple(
        target.spec
        for name, target in state.targets.states.items()
        if member_id in pick_members(name, members, POLLERS_PER_TARGET)
    )
