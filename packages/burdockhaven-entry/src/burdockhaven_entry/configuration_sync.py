"""Keeps the configuration of this member and the key-value service in sync.

A watch on the index signals each change. The content of the signal is not used: the
index is read after it, which also covers changes made while no watch was established.
"""

import asyncio
import contextlib
from collections.abc import Callable

from result import Err, Result

from burdockhaven_core.configuration import ChangeRecord, Configuration
from burdockhaven_core.configuration_change import Operation
from burdockhaven_core.configuration_parts import INDEX_KEY
from burdockhaven_core.configuration_store import (
    InSync,
    Newer,
    NotSynchronised,
    StoreFailure,
    Synchronisation,
    Unreadable,
    WrittenBack,
    read_history,
    synchronise,
)
from burdockhaven_core.events import ConfigurationRead
from burdockhaven_core.key_value import Range
from burdockhaven_core.log_numbers import EventNumber
from burdockhaven_core.publishing import (
    Accepted,
    HighestKnownVersion,
    NotDone,
    NotDoneReason,
    PublishOutcome,
    publish,
    resolve,
)
from burdockhaven_entry.kv_client import KvClient
from burdockhaven_entry.log_events import log


class ConfigurationSync:
    """Reads, writes back and publishes the configuration."""

    def __init__(
        self,
        kv_client: KvClient,
        current: Callable[[], Configuration],
        highest_known_version: HighestKnownVersion,
        report: Callable[[ConfigurationRead], None],
    ) -> None:
        self.kv_client = kv_client
        # Returns the configuration in force at this member.
        self.current = current
        # Returns the highest version in force at any member; None if some are silent.
        self.highest_known_version = highest_known_version
        # Called with each configuration read from the service or confirmed by it.
        self.report = report
        self._lock = asyncio.Lock()

    async def run(self) -> None:
        """Keep in sync with the service until cancelled, across its outages."""
        while True:
            try:
                await self._follow_watch()
            except Exception as error:
                log(EventNumber.INTERNAL_ERROR, step="configuration", error=repr(error))
            await asyncio.sleep(self.kv_client.backoff.next_delay_s())

    async def synchronise(self) -> Synchronisation:
        """Bring the service and this member to the newer of their configurations."""
        async with self._lock:
            outcome = await self.kv_client.run(synchronise(self.current()))
        match outcome:
            case Newer(configuration):
                self.report(ConfigurationRead(configuration))
            case InSync():
                self.report(ConfigurationRead(self.current()))
            case WrittenBack(found_version):
                log(
                    EventNumber.CONFIGURATION_WRITTEN_BACK,
                    found=found_version,
                    version=self.current().version,
                )
            case NotSynchronised(Unreadable(fault)):
                detail = f"{fault.path}: {fault.seen}"
                log(EventNumber.CONFIGURATION_UNREADABLE, detail=detail)
        return outcome

    async def publish(self, operation: Operation) -> PublishOutcome:
        """Publish an operator's change; a lost answer is resolved where possible.

        If the service is behind the members, it is synchronised first.
        """
        outcome = await self._publish(operation)
        if outcome == NotDone(NotDoneReason.BEHIND):
            await self.synchronise()
            outcome = await self._publish(operation)
        if isinstance(outcome, Accepted):
            await self._apply_accepted(outcome)
        return outcome

    async def resolve(self, operation: Operation) -> PublishOutcome:
        """Determine the outcome of an operation whose answer was lost."""
        return await self.kv_client.run(resolve(operation))

    async def history(
        self, first_version: int, last_version: int
    ) -> Result[tuple[ChangeRecord, ...], StoreFailure]:
        """Read the changes that produced the versions, from the first to the last."""
        return await self.kv_client.run(read_history(first_version, last_version))

    async def _follow_watch(self) -> None:
        """Synchronise at each signal of a watch until the watch or a step fails."""
        async with contextlib.aclosing(self.kv_client.watch(Range(INDEX_KEY))) as watch:
            async for event in watch:
                if isinstance(event, Err):
                    return
                if isinstance(await self.synchronise(), NotSynchronised):
                    return

    async def _publish(self, operation: Operation) -> PublishOutcome:
        steps = publish(operation, self.current(), self.highest_known_version)
        return await self.kv_client.run(steps)

    async def _apply_accepted(self, outcome: Accepted) -> None:
        if outcome.configuration is not None:
            self.report(ConfigurationRead(outcome.configuration))
        else:
            await self.synchronise()
