"""Event-driven state machine of one entry process, free of I/O.

`Entry.step` takes one event and the current time and returns the actions to perform.
It opens no socket and reads no clock, so that the daemon, the tests and the bench can
all drive the same code.
"""

import random
from collections.abc import Callable
from typing import Any

from burdockhaven_core import (
    caller_handlers,
    control_handlers,
    events,
    look_up,
    run_handlers,
)
from burdockhaven_core.actions import Action
from burdockhaven_core.dispatcher import dispatch_queued
from burdockhaven_core.entry_state import EntryParameters, EntryState
from burdockhaven_core.target_selection import TargetPolicy, bounded

Handler = Callable[[EntryState, Any, float], None]

HANDLERS: dict[type, Handler] = {
    events.LookUpArrived: look_up.on_look_up,
    events.RequestArrived: caller_handlers.on_request,
    events.ResumeArrived: caller_handlers.on_resume,
    events.CallerDisconnected: caller_handlers.on_caller_disconnected,
    events.RunRejected: run_handlers.on_run_rejected,
    events.RunProgressed: run_handlers.on_run_progressed,
    events.RunCompleted: run_handlers.on_run_completed,
    events.RunLost: run_handlers.on_run_lost,
    events.LoadReported: run_handlers.on_load_reported,
    events.VmListRead: control_handlers.on_vm_list,
    events.MessageArrived: control_handlers.on_message,
    events.ConfigurationRead: control_handlers.on_configuration,
    events.MemberLeasesRead: control_handlers.on_member_leases,
    events.StopRequested: control_handlers.on_stop_requested,
    events.Tick: control_handlers.on_tick,
}


class Entry:
    """The state machine of one entry process."""

    def __init__(self, state: EntryState) -> None:
        self.state = state

    @classmethod
    def from_config(
        cls,
        parameters: EntryParameters,
        rng: random.Random,
        now: float,
        target_policy: TargetPolicy | None = None,
    ) -> "Entry":
        """Create a process that starts now, with `bounded` as its default policy."""
        policy = bounded(rng) if target_policy is None else target_policy
        return cls(EntryState(parameters, policy, rng, now))

    def step(self, event: events.Event, now: float) -> list[Action]:
        """Handle one event and return the actions; `now` is in monotonic seconds."""
        state = self.state
        state.actions = []
        HANDLERS[type(event)](state, event, now)
        if not isinstance(event, events.RunProgressed):
            dispatch_queued(state, now)
        return state.actions
