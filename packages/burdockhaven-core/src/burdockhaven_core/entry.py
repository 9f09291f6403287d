"""One entry process as a function of its events.

`Entry.step` takes one event and the time and returns what is to be done. The daemon,
the tests and the bench all drive it; it opens no socket and reads no clock.
"""

import random
from collections.abc import Callable
from typing import Any

from burdockhaven_core import events, intake, look_up, runs, upkeep
from burdockhaven_core.actions import Action
from burdockhaven_core.choosing import Choose, bounded
from burdockhaven_core.dispatching import pump
from burdockhaven_core.entry_state import EntryParameters, EntryState

Handler = Callable[[EntryState, Any, float], None]

HANDLERS: dict[type, Handler] = {
    events.LookUpArrived: look_up.on_look_up,
    events.RequestArrived: intake.on_request,
    events.ResumeArrived: intake.on_resume,
    events.CallerGone: intake.on_caller_gone,
    events.RunRefused: runs.on_run_refused,
    events.RunProgressed: runs.on_run_progressed,
    events.RunFinished: runs.on_run_finished,
    events.RunLost: runs.on_run_lost,
    events.LoadReported: runs.on_load_reported,
    events.VmListRead: upkeep.on_vm_list,
    events.MessageArrived: upkeep.on_message,
    events.ConfigurationRead: upkeep.on_configuration,
    events.MemberLeasesRead: upkeep.on_member_leases,
    events.StopRequested: upkeep.on_stop,
    events.Tick: upkeep.on_tick,
}


class Entry:
    """One entry process."""

    def __init__(self, state: EntryState) -> None:
        self.state = state

    @classmethod
    def from_config(
        cls,
        parameters: EntryParameters,
        rng: random.Random,
        now: float,
        choose: Choose | None = None,
    ) -> "Entry":
        """A process that starts now; `choose` is the policy for targets."""
        policy = bounded(rng) if choose is None else choose
        return cls(EntryState(parameters, policy, rng, now))

    def step(self, event: events.Event, now: float) -> list[Action]:
        """Take in one event at a monotonic time in seconds; return what to do."""
        state = self.state
        state.out = []
        HANDLERS[type(event)](state, event, now)
        if not isinstance(event, events.RunProgressed):
            pump(state, now)
        return state.out
