"""Plain service as a process: executes each call and counts the executions.

Repeated calls are executed again, so that tests can detect repeated dispatches.
"""

import asyncio
from collections import Counter
from dataclasses import dataclass, field

import msgspec
from litestar import Litestar, Response, get, post
from litestar.response import Stream

from burdockhaven_standins.faults import CutPoint, FaultControl, Faults
from burdockhaven_standins.server import (
    AnyRequest,
    cut_response,
    json_response,
    read_body,
)


class Call(msgspec.Struct, frozen=True):
    """A call as the service receives it."""

    request_id: str
    body: str = ""
    class_name: str = msgspec.field(name="class", default="")


class CallResult(msgspec.Struct, frozen=True):
    """The response to a call."""

    request_id: str
    result: str


class ServiceLoad(msgspec.Struct, frozen=True):
    """Load report."""

    running: int
    waiting: int
    leaving: bool


class ServiceControl(FaultControl, frozen=True, kw_only=True):
    """Changes to faults and speed; None leaves a setting unchanged."""

    # Seconds that each call takes.
    call_s: float | None = None


@dataclass(slots=True)
class Service:
    """State of a plain service."""

    # Seconds that each call takes.
    call_s: float
    # Limits the number of concurrent calls; further calls wait.
    slots: asyncio.Semaphore
    faults: Faults = field(default_factory=Faults)
    # Executions by request id.
    executions: Counter[str] = field(default_factory=Counter)
    running: int = 0
    waiting: int = 0

    async def run(self, call: Call) -> CallResult:
        """Execute the call, even if it has been executed before."""
        self.waiting += 1
        async with self.slots:
            self.waiting -= 1
            self.running += 1
            self.executions[call.request_id] += 1
            await asyncio.sleep(self.call_s)
            self.running -= 1
        count = self.executions[call.request_id]
        return CallResult(call.request_id, f"{call.class_name} done, run {count}")


def make_app(call_s: float, slots: int) -> Litestar:
    """Create the application of one plain service."""
    service = Service(call_s, asyncio.Semaphore(slots))
    faults = service.faults

    @post("/v1/calls", status_code=200)
    async def calls(request: AnyRequest) -> Response[bytes] | Stream:
        call = await read_body(request, Call)
        rejection = await faults.rejection_before_start()
        if rejection is not None:
            return rejection
        result = await service.run(call)
        if faults.consume_cut(CutPoint.AFTER):
            return cut_response()
        return json_response(result)

    @get("/load")
    async def load() -> Response[bytes]:
        return json_response(
            ServiceLoad(service.running, service.waiting, faults.leaving)
        )

    @get("/counts")
    async def counts() -> Response[bytes]:
        return json_response(dict(service.executions))

    @post("/control", status_code=200)
    async def control(request: AnyRequest) -> Response[bytes]:
        control_body = await read_body(request, ServiceControl)
        faults.apply(control_body)
        if control_body.call_s is not None:
            service.call_s = control_body.call_s
        return json_response(None)

    return Litestar([calls, load, counts, control])
