"""Fault injection for engines and plain services."""

import enum
from dataclasses import dataclass

import msgspec
from litestar import Response
from litestar.response import Stream

from burdockhaven_standins.server import cut_response, hang, json_response


class CutPoint(enum.Enum):
    """Point at which the connection of a request is cut."""

    # Before the request starts.
    BEFORE = "before"
    # After the request has started, before any part of the response is sent.
    AFTER = "after"


class RejectionBody(msgspec.Struct, frozen=True):
    """Body of the response to a request that was not started."""

    leaving: bool
    error: str = "not_accepted"


class FaultControl(msgspec.Struct, frozen=True, kw_only=True):
    """Changes to the faults that all targets have; None leaves a fault unchanged."""

    # Reject every request before it starts.
    refuse: bool | None = None
    # Reject every request, as a target that is about to shut down does.
    leaving: bool | None = None
    # Accept each request and never respond.
    silent: bool | None = None
    # Cut the connection of the next request.
    cut_next: CutPoint | None = None


@dataclass(slots=True)
class Faults:
    """Faults that are active."""

    refuse: bool = False
    leaving: bool = False
    silent: bool = False
    cut_next: CutPoint | None = None

    def apply(self, control: FaultControl) -> None:
        """Apply the changes of a control request."""
        if control.refuse is not None:
            self.refuse = control.refuse
        if control.leaving is not None:
            self.leaving = control.leaving
        if control.silent is not None:
            self.silent = control.silent
        if control.cut_next is not None:
            self.cut_next = control.cut_next

    def consume_cut(self, point: CutPoint) -> bool:
        """Return whether to cut the connection here; resets the fault if so."""
        if self.cut_next is not point:
            return False
        self.cut_next = None
        return True

    async def rejection_before_start(self) -> Response[bytes] | Stream | None:
        """Return the response to a request that must not start; None if it may."""
        if self.silent:
            await hang()
        if self.consume_cut(CutPoint.BEFORE):
            return cut_response()
        if self.refuse or self.leaving:
            return json_response(RejectionBody(self.leaving), 503)
        return None
