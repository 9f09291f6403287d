"""Adapter that runs one `Entry` on the simulated network.

It passes events in and carries out the actions that the entry returns.
"""

from burdockhaven_bench.network import Network
from burdockhaven_core import actions
from burdockhaven_core.entry import Entry
from burdockhaven_core.events import (
    Event,
    MessageArrived,
    RunCompleted,
    RunProgressed,
)
from burdockhaven_core.identity import MemberId, RunId
from burdockhaven_core.messages import PeerMessage, encode_message
from burdockhaven_standins.engine_model import EngineChunk, EngineFinished


class EntryNode:
    """An entry process on the simulated network."""

    def __init__(self, entry: Entry, network: Network) -> None:
        self.entry = entry
        self.network = network
        self.parameters = entry.state.parameters
        self.member_id: MemberId = self.parameters.member_id
        self.alive = True
        self.messages_sent = 0
        self.bytes_sent = 0

    def feed(self, event: Event) -> None:
        """Pass an event to the entry and perform its actions; no-op once dead."""
        if not self.alive:
            return
        for action in self.entry.step(event, self.network.scheduler.now):
            self._perform(action)

    def _perform(self, action: actions.Action) -> None:
        match action:
            case actions.StoreBody(handle=handle, run_id=run_id):
                self.network.callers.on_run_assigned(handle, run_id)
            case actions.StartRun(run_id=run_id, target=target):
                self.network.start_run(self, run_id, target)
            case actions.CancelRun(run_id=run_id, target=target):
                self.network.cancel_run(self, run_id, target)
            case actions.Answer(handle=handle, outcome=outcome):
                self.network.send_to_caller(handle, outcome)
            case actions.AnswerLookUp(handle=handle):
                self.network.send_to_caller(handle, action)
            case actions.SendMessage(to=to, message=message):
                self._send(to, message)

    def _send(self, to: MemberId, message: PeerMessage) -> None:
        self.messages_sent += 1
        self.bytes_sent += len(encode_message(message))
        self.network.send_to_entry(self, to, MessageArrived(self.member_id, message))

    def on_output(self, output: EngineChunk | EngineFinished) -> None:
        """Process the output of a target on its arrival at the entry."""
        if not self.alive:
            return
        run_id = RunId(output.run_id)
        if isinstance(output, EngineChunk):
            self.network.callers.on_progress(run_id, output.count)
            self.feed(RunProgressed(run_id, output.count))
            return
        self.network.callers.on_finished(run_id)
        tokens = output.output_tokens
        self.feed(RunCompleted(run_id, tokens, output.cached_tokens))
