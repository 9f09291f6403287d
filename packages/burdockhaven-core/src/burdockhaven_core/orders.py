"""Leader lease with fencing tokens for orders to engines, and the plan of due orders.

One member holds the order lease: the one whose key exists under its lease in the
key-value service. The revision at which the key was created is the fencing token of its
orders. A later holder therefore has a higher token, and engines that check the token
reject orders of an earlier holder.

A holder starts an order only if its lease remains valid for longer than an order can be
in flight. Engines that do not check fencing tokens receive no order from a new holder
until an earlier holder can no longer consider its lease valid and its last order can no
longer be in flight. One case remains: a holder that is paused between this check and
the send. docs/DESIGN-config.md describes its effects.
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

# Seconds for which a lease in the key-value service is valid after its renewal.
LEASE_TTL_S = 6
# Upper bound of the relative drift between the clocks of two machines.
MAX_CLOCK_DRIFT = 0.01
# Seconds after which an order ends, whether or not the target has responded.
ORDER_TIMEOUT_S = 2.0
# Validity that the order lease must have left when an order is started.
SEND_MARGIN_S = ORDER_TIMEOUT_S + LEASE_TTL_S * MAX_CLOCK_DRIFT
# Seconds for which a new holder sends no orders to engines that do not check fencing.
PREDECESSOR_GRACE_S = LEASE_TTL_S * (1.0 + MAX_CLOCK_DRIFT) + ORDER_TIMEOUT_S
# Interval of load orders over all engines, set by the throughput of the weight store.
LOAD_INTERVAL_S = 10.0
# Seconds after which a completed order is repeated: the engine may have restarted, or
# may have carried out an order of an earlier holder.
REPEAT_INTERVAL_S = 600.0
# Backoff before a failed order is retried.
RETRY_INTERVAL_S = 5.0


@dataclass(frozen=True, slots=True)
class OrderLease:
    """This member's lease on sending orders."""

    # Fencing token, sent with each order; increases with each holder.
    fencing: int
    # Monotonic time at which this member observed that it holds the lease.
    acquired_s: float
    # Monotonic time until which the lease is certainly valid.
    until_s: float

    def can_send(self, target: TargetSpec, now: float) -> bool:
        """Whether an order to the target may be started now.

        Call this immediately before the send, with a fresh reading of the clock.
        """
        if now + SEND_MARGIN_S > self.until_s:
            return False
        return target.checks_fencing or now >= self.acquired_s + PREDECESSOR_GRACE_S

    def renewed(self, until_s: float) -> "OrderLease":
        """Return this lease with a later end; fencing token and start stay."""
        return dataclasses.replace(self, until_s=until_s)


@dataclass(frozen=True, slots=True)
class SendOrder:
    """An order to send to a target, provided that `OrderLease.can_send` still holds."""

    target: TargetSpec
    order: TargetOrder
    fencing: int


@dataclass(frozen=True, slots=True)
class OrderDone:
    """The target has carried out the order."""

    sent: SendOrder


@dataclass(frozen=True, slots=True)
class OrderFailed:
    """The order was not sent, was rejected, or its response was lost."""

    sent: SendOrder
    # Whether the target rejected the fencing token: there is a later holder.
    is_fenced: bool
    detail: str


@dataclass(slots=True)
class OrderPlanner:
    """Plans due orders, with no more than one order in flight per target."""

    # Monotonic time at which each order was last completed.
    completed_s: dict[tuple[TargetName, TargetOrder], float] = field(
        default_factory=dict
    )
    # Earliest time of the next order to a target that has failed one.
    next_attempt_s: dict[TargetName, float] = field(default_factory=dict)
    # Targets with an order in flight.
    in_flight: set[TargetName] = field(default_factory=set)
    # Earliest time of the next load order.
    next_load_s: float = 0.0
    # Fencing token of the lease under which orders were last planned.
    fencing: int = 0

    def plan(
        self, configuration: Configuration, lease: OrderLease | None, now: float
    ) -> list[SendOrder]:
        """Return the orders to send now and mark them as in flight."""
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
        """Record the result of an order."""
        sent = result.sent
        self.in_flight.discard(sent.target.name)
        match result:
            case OrderDone():
                self.completed_s[sent.target.name, sent.order] = now
            case OrderFailed():
                self.next_attempt_s[sent.target.name] = now + RETRY_INTERVAL_S

    def _start_term(self, lease: OrderLease) -> None:
        """Reset the plan for a new holder, which does not know the earlier orders.

        An earlier holder started its last load order before its lease ended. Waiting a
        full interval from the start of the new lease therefore respects the rate of the
        weight store.
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
    """Yield each target once, even if several templates contain it."""
    seen = set()
    for template in configuration.templates.values():
        for group in template.groups:
            for target in group.targets:
                if target.name not in seen:
                    seen.add(target.name)
                    yield target
