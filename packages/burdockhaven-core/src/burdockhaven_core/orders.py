"""Orders to engines: who may give them, when, and which are due.

One member holds the right to give orders: the one whose key stands under its lease in
the key-value service. The revision at which the key was created is the fencing number
of its orders, so a later holder has a higher one and engines that check can refuse an
earlier holder.

A holder starts an order only if its lease stands for longer than an order can be under
way. Engines that do not check fencing get an order of a new holder only after the
longest time for which an earlier holder can still believe in its lease, plus the time
that an order can be under way. What is left is a holder that is paused between its
check and the send; docs/DESIGN-config.md says what that can do.
"""

import dataclasses
from collections.abc import Iterator
from dataclasses import dataclass, field

from burdockhaven_core.configuration import (
    Configuration,
    OrderKind,
    TargetOrder,
    TargetSpec,
)
from burdockhaven_core.identity import TargetName

# Seconds for which a lease of the key-value service stands after its renewal.
LEASE_TTL_S = 6
# Clocks of two machines drift apart by at most this share.
MAX_CLOCK_DRIFT = 0.01
# Seconds from the start of an order to its end, answered or not.
ORDER_TIMEOUT_S = 2.0
# Seconds for which the own lease has to stand when an order is started.
SEND_MARGIN_S = ORDER_TIMEOUT_S + LEASE_TTL_S * MAX_CLOCK_DRIFT
# Seconds that a new holder leaves engines alone that do not check fencing.
PREDECESSOR_GRACE_S = LEASE_TTL_S * (1.0 + MAX_CLOCK_DRIFT) + ORDER_TIMEOUT_S
# Seconds between two load orders, to all engines together: the weight store's rate.
LOAD_INTERVAL_S = 10.0
# Seconds after which an order that was carried out is given again, for the engine may
# have been restarted or may have followed an earlier holder.
REPEAT_INTERVAL_S = 600.0
# Seconds before an order that failed is given again.
RETRY_INTERVAL_S = 5.0


@dataclass(frozen=True, slots=True)
class OrderLease:
    """This member's right to give orders."""

    # Goes with each order; grows with each holder.
    fencing: int
    # When the right was asked for, in monotonic seconds.
    acquired_s: float
    # The lease stands at least until this monotonic time.
    until_s: float

    def can_send(self, target: TargetSpec, now: float) -> bool:
        """Whether an order to the target may be started now.

        To be asked directly before the send, with a fresh reading of the clock.
        """
        if now + SEND_MARGIN_S > self.until_s:
            return False
        return target.checks_fencing or now >= self.acquired_s + PREDECESSOR_GRACE_S

    def renewed(self, until_s: float) -> "OrderLease":
        """The same right after a renewal of the lease."""
        return dataclasses.replace(self, until_s=until_s)


@dataclass(frozen=True, slots=True)
class SendOrder:
    """Give the order to the target, if `Holding.may_send` still says so."""

    target: TargetSpec
    order: TargetOrder
    fencing: int


@dataclass(frozen=True, slots=True)
class OrderDone:
    """The target has carried the order out."""

    sent: SendOrder


@dataclass(frozen=True, slots=True)
class OrderFailed:
    """The order was not sent, was refused, or its answer is lost."""

    sent: SendOrder
    # Whether the target refused the fencing number: there is a later holder.
    is_fenced: bool
    detail: str


@dataclass(slots=True)
class OrderPlanner:
    """Which orders are due; one under way per target at most."""

    # When each order was last carried out, in monotonic seconds.
    completed_s: dict[tuple[TargetName, TargetOrder], float] = field(
        default_factory=dict
    )
    # When a target may be given its next order.
    next_attempt_s: dict[TargetName, float] = field(default_factory=dict)
    # Targets with an order under way.
    in_flight: set[TargetName] = field(default_factory=set)
    # When the next load order may be given.
    next_load_s: float = 0.0
    # The right under which orders were planned last.
    fencing: int = 0

    def plan(
        self, configuration: Configuration, lease: OrderLease | None, now: float
    ) -> list[SendOrder]:
        """The orders to start now."""
        if lease is None:
            return []
        if lease.fencing != self.fencing:
            self._start_term(lease)
        orders = []
        for target in _targets(configuration):
            due = self._due(target, now)
            if due is None or not lease.can_send(target, now):
                continue
            if due.kind is not OrderKind.CHANGE_ROLE:
                if now < self.next_load_s:
                    continue
                self.next_load_s = now + LOAD_INTERVAL_S
            self.in_flight.add(target.name)
            orders.append(SendOrder(target, due, lease.fencing))
        return orders

    def on_result(self, result: OrderDone | OrderFailed, now: float) -> None:
        """Take in what came of an order."""
        sent = result.sent
        self.in_flight.discard(sent.target.name)
        match result:
            case OrderDone():
                self.completed_s[sent.target.name, sent.order] = now
            case OrderFailed():
                self.next_attempt_s[sent.target.name] = now + RETRY_INTERVAL_S

    def _start_term(self, lease: OrderLease) -> None:
        """Start as a new holder, which does not know what the last one did.

        The last load of an earlier holder was started before its lease ended, so a
        whole interval from the begin of this one keeps to the weight store's rate.
        """
        self.fencing = lease.fencing
        self.completed_s.clear()
        self.next_load_s = lease.acquired_s + LOAD_INTERVAL_S

    def _due(self, target: TargetSpec, now: float) -> TargetOrder | None:
        if target.name in self.in_flight or now < self.next_attempt_s.get(
            target.name, 0.0
        ):
            return None
        for order in target.orders:
            done_s = self.completed_s.get((target.name, order))
            if done_s is None or now >= done_s + REPEAT_INTERVAL_S:
                return order
        return None


def _targets(configuration: Configuration) -> Iterator[TargetSpec]:
    """Each target once, also when it stands in several templates."""
    seen = set()
    for template in configuration.templates.values():
        for group in template.groups:
            for target in group.targets:
                if target.name not in seen:
                    seen.add(target.name)
                    yield target
