"""One request of a client as it passes through the gateway."""

import dataclasses
from dataclasses import dataclass

from aiohttp import web

from burdockhaven_core.scheduling.routing import Account, Route
from burdockhaven_entry.gateway.target_client import Outgoing
from burdockhaven_entry.platform import ClientRequest, target_headers


@dataclass(frozen=True, slots=True)
class Call:
    """A request that was read, routed and allowed."""

    request: web.BaseRequest
    said: ClientRequest
    body: bytes
    route: Route
    # None where requests need no key.
    account: Account | None
    service: str
    # Monotonic seconds of the arrival and of the final answer at the latest.
    arrived_s: float
    deadline_s: float
    # Names what is asked, whichever try of the client it is.
    digest: int
    # Whether such a request was refused lately.
    returning: bool

    @property
    def priority(self) -> int:
        """0 is the most urgent; the account's rank goes before the route's."""
        if self.account is not None and self.account.priority is not None:
            return self.account.priority
        return self.route.priority

    @property
    def objective_s(self) -> float:
        """Monotonic time until which the answer, or its first event, is on time."""
        return self.arrived_s + self.route.objective_s

    def outgoing(
        self,
        target_id: str,
        now: float,
        last_event_id: str | None,
        may_reuse_connection: bool,
    ) -> Outgoing:
        """The request as it goes to a target now."""
        headers = target_headers(
            self.request.headers,
            target_id=target_id,
            account=None if self.account is None else self.account.name,
            deadline_ms=int((self.deadline_s - now) * 1e3),
            last_event_id=last_event_id,
        )
        return Outgoing(
            method=self.request.method,
            raw_path=self.request.raw_path,
            headers=headers,
            body=self.body,
            attempt_id=self.said.attempt_id,
            may_reuse_connection=may_reuse_connection,
        )

    def with_returning(self, returning: bool) -> "Call":
        """The call of a client that was refused before, or was not."""
        return dataclasses.replace(self, returning=returning)
