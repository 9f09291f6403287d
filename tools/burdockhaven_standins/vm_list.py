"""The platform's list of live and leaving VMs, in which changes appear with a delay."""

import time
from collections import deque
from dataclasses import dataclass, field
from typing import Literal

import msgspec
from litestar import Litestar, Response, get, post

from burdockhaven_standins.server import AnyRequest, hang, json_response, read_body


class Vm(msgspec.Struct, frozen=True):
    """The VM of a target or an entry."""

    # Host and port of the target, or of the peer socket of the entry.
    address: str
    zone: str = ""
    state: Literal["live", "leaving"] = "live"


class VmList(msgspec.Struct, frozen=True):
    """Body of the list."""

    vms: tuple[Vm, ...] = ()


class VmListControl(msgspec.Struct, frozen=True):
    """Changes to the list and to its faults; None leaves a setting unchanged."""

    vms: tuple[Vm, ...] | None = None
    # Seconds until a change is visible.
    lag_s: float | None = None
    # Whether requests are never answered.
    silent: bool | None = None


@dataclass(slots=True)
class VmListModel:
    """The visible list and the pending changes to it."""

    lag_s: float = 0.0
    silent: bool = False
    visible: VmList = field(default_factory=VmList)
    # Later lists, each with the time from which it is visible, oldest first.
    pending: deque[tuple[float, VmList]] = field(default_factory=deque)

    def replace(self, vms: tuple[Vm, ...], now: float) -> None:
        """Replace the list after the lag."""
        self.pending.append((now + self.lag_s, VmList(vms)))

    def read(self, now: float) -> VmList:
        """Return the list that is visible now."""
        while self.pending and self.pending[0][0] <= now:
            self.visible = self.pending.popleft()[1]
        return self.visible


def make_app(lag_s: float) -> Litestar:
    """Create the application of one VM list, without any VMs."""
    model = VmListModel(lag_s)

    @get("/vms")
    async def vms() -> Response[bytes]:
        if model.silent:
            await hang()
        return json_response(model.read(time.monotonic()))

    @post("/control", status_code=200)
    async def control(request: AnyRequest) -> Response[bytes]:
        control_body = await read_body(request, VmListControl)
        if control_body.lag_s is not None:
            model.lag_s = control_body.lag_s
        if control_body.silent is not None:
            model.silent = control_body.silent
        if control_body.vms is not None:
            model.replace(control_body.vms, time.monotonic())
        return json_response(None)

    return Litestar([vms, control])
