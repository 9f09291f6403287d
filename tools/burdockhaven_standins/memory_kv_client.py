"""Client of the in-memory key-value service, with the interface of `KvClient`."""

import random
from collections.abc import AsyncGenerator
from dataclasses import dataclass, field
from typing import TypeVar

from result import Err, Ok, Result

from burdockhaven_core.key_value import (
    CallResult,
    Command,
    KeyValueSteps,
    Range,
    WatchEvent,
)
from burdockhaven_core.key_value_failure import FailureKind, KeyValueFailure
from burdockhaven_entry.call_limits import Backoff
from burdockhaven_standins.key_value_memory import MemoryKeyValue

T = TypeVar("T")


@dataclass(slots=True)
class MemoryKvClient:
    """Executes commands directly on the in-memory service."""

    service: MemoryKeyValue
    backoff: Backoff = field(default_factory=lambda: Backoff(random.Random(1)))
    # Next calls to fail as ambiguous, in order: True if the call takes effect.
    ambiguous_calls: list[bool] = field(default_factory=list)

    async def call(self, command: Command) -> CallResult:
        """Execute one command, unless `ambiguous_calls` makes it fail."""
        if not self.ambiguous_calls:
            return self.service.call(command)
        if self.ambiguous_calls.pop(0):
            return self.service.call_and_lose_response(command)
        return self.service.failure(FailureKind.AMBIGUOUS, command)

    async def run(self, steps: KeyValueSteps[T]) -> T:
        """Run the steps to completion."""
        return self.service.run(steps)

    async def watch(
        self, watched: Range
    ) -> AsyncGenerator[Result[WatchEvent | None, KeyValueFailure], None]:
        """Yield the confirmation of the watch, then a failure."""
        yield Ok(None)
        yield Err(KeyValueFailure(FailureKind.NOT_DONE, "watch", "memory", "end"))
