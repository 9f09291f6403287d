"""The platform's list of live and leaving VMs, which shows changes late."""

import time
from collections import deque
from dataclasses import dataclass, field
from typing import Literal

import msgspec
from litestar import Litestar, Response, get, post

from burdockhaven_standins.server import AnyRequest, hang, json_response, read_body


class Vm(msgspec.Struct, frozen=True):
    """One VM of a target or an entry."""

    # Host and port of the target or of the entry's peer socket.
    address: str
    zone: str = ""
    state: Literal["live", "leaving"] = "live"


class VmList(msgspec.Struct, frozen=True):
    """All VMs."""

    vms: tuple[Vm, ...] = ()


class VmListControl(msgspec.Struct, frozen=True):
    """What to change; None leaves it as it is."""

    vms: tuple[Vm, ...] | None = None
    # Seconds until a change shows.
    lag_s: float | None = None
    # Whether the list answers no call.
    silent: bool | None = None


@dataclass(slots=True)
class VmListModel:
    """The list and its changes that do not show yet."""

    lag_s: float = 0.0
    silent: bool = False
    visible: VmList = field(default_factory=VmList)
    # Later lists with the time from which they show, the oldest first.
    pending: deque[tuple[float, VmList]] = field(default_factory=deque)

    def replace(self, vms: tuple[Vm, ...], now: float) -> None:
        """Changes the list; the change shows after the lag."""
        self.pending.append((now + self.lag_s, VmList(vms)))

    def read(self, now: float) -> VmList:
        """The list as it shows now."""
        while self.pending and self.pending[0][0] <= now:
            self.visible = self.pending.popleft()[1]
        return self.visible


def make_app(lag_s: float) -> Litestar:
    """The application of one VM list, empty at first."""
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
