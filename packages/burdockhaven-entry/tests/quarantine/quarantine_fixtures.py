"""Members and a store in memory for the records of quarantines, in virtual time."""

import asyncio
import dataclasses
import random

from gateway_fixtures import settings
from result import Err, Ok

from burdockhaven_bench.restore import VirtualTimeLoop
from burdockhaven_core.key_value_failure import FailureKind, KeyValueFailure
from burdockhaven_core.request_quarantine import QUARANTINE_ENDS
from burdockhaven_entry.gateway.gateway_state import GatewayState
from burdockhaven_entry.platform import (
    MAX_TRANSACTION_CHANGES,
    ChangeBatch,
    StoreItem,
    StoreRevision,
)
from burdockhaven_entry.quarantine import (
    QuarantineStore,
    content_records,
    part_records,
)

CONTENT = 0xC0FFEE
# Seconds of a write.
CALL_S = 0.01
# Unix time in milliseconds at the start of the virtual time.
EPOCH_MS = 1_800_000_000_000


class Store:
    """Keys in memory; calls fail while it is away."""

    def __init__(self):
        self.values = {}
        self.is_away = False
        # Writes take effect, and their answers are lost.
        self.loses_answers = False
        self.era = 1
        # Number of calls that change something.
        self.changes = 0

    def call(self):
        if self.is_away:
            return Err(KeyValueFailure(FailureKind.NOT_DONE, "step", "store", ""))
        return Ok(None)

    async def put_all(self, values):
        assert 0 < len(values) <= MAX_TRANSACTION_CHANGES
        self.changes += 1
        await asyncio.sleep(CALL_S)
        if self.call().is_ok():
            self.values.update(values)
        if self.loses_answers:
            return Err(KeyValueFailure(FailureKind.AMBIGUOUS, "step", "store", ""))
        return self.call()

    def restore(self, values, *members):
        """Return to an older copy; the members notice it by another call."""
        self.values = dict(values)
        self.era += 1
        for member in members:
            member.state.store_eras.observe(self.era, "store")

    async def remove(self, keys):
        assert 0 < len(keys) <= MAX_TRANSACTION_CHANGES
        self.changes += 1
        if self.call().is_ok():
            for key in keys:
                self.values.pop(key, None)
        return self.call()

    async def read_prefix(self, prefix, may_be_stale=False):
        items = tuple(
            StoreItem(key, value, 1)
            for key, value in self.values.items()
            if key.startswith(prefix)
        )
        return self.call().map(lambda _: ChangeBatch(items, StoreRevision(self.era, 1)))


class Member:
    def __init__(self, store, incarnation=1, is_broker=True, clock_ms=0):
        loop = asyncio.get_running_loop()
        self.state = GatewayState.from_settings(
            dataclasses.replace(settings(), first_start=incarnation == 1),
            incarnation,
            incarnation,
            loop.time,
            random.Random(1),
        )
        self.is_broker = is_broker
        self.quarantine = self.state.request_quarantine
        self.crashes = self.state.broker.crashes
        self.records = QuarantineStore(
            self.state,
            store,
            lambda: self.is_broker,
            lambda: EPOCH_MS + clock_ms + round(loop.time() * 1e3),
            (content_records(self.quarantine), part_records(self.state.broker)),
        )
        self.state.store_eras.observe(store.era, "store")
        self.task = loop.create_task(self.records.run())

    async def end_targets(self, count=QUARANTINE_ENDS):
        for number in range(count):
            now = self.state.clock()
            self.quarantine.record_end(CONTENT, f"target-{number}", 1, now)
        self.records.has_changes.set()
        await asyncio.sleep(0.1)

    async def answer(self):
        self.quarantine.record_answered(CONTENT, "target", self.state.clock())
        self.records.has_changes.set()
        await asyncio.sleep(0.1)

    async def end_engine(self, engine, *parts, begun=("all",)):
        """Let an engine end beneath a prompt; others are answered before and after."""
        self.crashes.record_begun(begun, self.state.clock())
        self.crashes.record_end(engine, parts, self.state.clock())
        await asyncio.sleep(0.1)
        self.crashes.record_begun(begun, self.state.clock())
        self.notice_changes()
        await asyncio.sleep(0.1)

    def notice_changes(self):
        """Do what the daemon does ten times a second."""
        if self.crashes.take_changes() or self.quarantine.take_changes():
            self.records.has_changes.set()

    def quarantined_parts(self):
        return self.crashes.quarantined(self.state.clock())

    def admits(self):
        return self.quarantine.admits(CONTENT, self.state.clock())


async def restart(store, **options):
    """Start a member that knows nothing of the earlier ones."""
    member = Member(store, incarnation=2, **options)
    await asyncio.sleep(0.1)
    return member


def play(scenario):
    """Run a scenario in virtual time; a coroutine function of a store."""

    async def main():
        await asyncio.sleep(100.0)
        await scenario(Store())

    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        runner.run(main())
