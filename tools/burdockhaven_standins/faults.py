"""Faults that engines and plain services bring about on demand."""

import enum
from dataclasses import dataclass

import msgspec
from litestar import Response
from litestar.response import Stream

from burdockhaven_standins.server import cut_response, hang, json_response


class CutPoint(enum.Enum):
    """Where the next request's connection is cut."""

    # Before the request is started.
    BEFORE = "before"
    # After the request is started and before any of its answer.
    AFTER = "after"


class RejectionBody(msgspec.Struct, frozen=True):
    """The answer to a request that was not started."""

    leaving: bool
    error: str = "not_accepted"


class FaultControl(msgspec.Struct, frozen=True, kw_only=True):
    """Faults that all targets know; None leaves one as it is."""

    # Refuse every request before it is started.
    refuse: bool | None = None
    # Refuse as a target does that is on its way out.
    leaving: bool | None = None
    # Take each call and answer none.
    silent: bool | None = None
    # Cut the next request's connection.
    cut_next: CutPoint | None = None


@dataclass(slots=True)
class Faults:
    """The faults that are switched on."""

    refuse: bool = False
    leaving: bool = False
    silent: bool = False
    cut_next: CutPoint | None = None

    def apply(self, control: FaultControl) -> None:
        """Switches faults on and off."""
        if control.refuse is not None:
            self.refuse = control.refuse
        if control.leaving is not None:
            self.leaving = control.leaving
        if control.silent is not None:
            self.silent = control.silent
        if control.cut_next is not None:
            self.cut_next = control.cut_next

    def consume_cut(self, point: CutPoint) -> bool:
        """Whether to cut here; the fault happens once."""
        if self.cut_next is not point:
            return False
        self.cut_next = None
        return True

    async def rejection_before_start(self) -> Response[bytes] | Stream | None:
        """The answer to a request that is not to be started; None if it is."""
        if self.silent:
            await hang()
        if self.consume_cut(CutPoint.BEFORE):
            return cut_response()
        if self.refuse or self.leaving:
            return json_response(RejectionBody(self.leaving), 503)
        return None
