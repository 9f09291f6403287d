"""Sends orders to engines while this member holds the order lease.

Only one member may send orders. The order lease is a key in the key-value service that
is attached to the member lease of its holder, so it expires with the holder. The key's
create revision serves as the fencing token: an engine rejects an order with a lower
token than one that it has seen, such as an order of a former holder that was paused.
"""

import asyncio
from collections.abc import Callable

import httpx
from result import Err

from burdockhaven_core.configuration import Configuration
from burdockhaven_core.key_value import (
    KeyValue,
    Put,
    Range,
    RangeAnswer,
    Transaction,
    ValueEquals,
)
from burdockhaven_core.log_numbers import EventNumber
from burdockhaven_core.orders import (
    ORDER_TIMEOUT_S,
    OrderDone,
    OrderFailed,
    OrderLease,
    OrderPlanner,
    SendOrder,
)
from burdockhaven_entry.kv_client import KvClient
from burdockhaven_entry.log_events import log
from burdockhaven_entry.member_lease import MemberLease

HOLDER_KEY = "/burdockhaven/orders/holder"
# Status with which an engine rejects an order whose fencing token is too old.
STATUS_STALE_TOKEN = 409


class OrderDispatcher:
    """Acquires and renews the order lease, and sends the orders that are due."""

    def __init__(
        self,
        kv_client: KvClient,
        member_lease: MemberLease,
        is_candidate: Callable[[], bool],
        clock: Callable[[], float],
    ) -> None:
        self.kv_client = kv_client
        self.member_lease = member_lease
        # Whether this member should try to acquire a free order lease. This only saves
        # calls: the key-value service decides who holds the lease.
        self.is_candidate = is_candidate
        # Returns monotonic seconds.
        self.clock = clock
        self.client = httpx.AsyncClient(timeout=ORDER_TIMEOUT_S, trust_env=False)
        self.planner = OrderPlanner()
        # None while this member does not hold the lease.
        self.order_lease: OrderLease | None = None

    async def close(self) -> None:
        """Stop sending orders and close all connections."""
        self.order_lease = None
        await self.client.aclose()

    async def renew(self) -> None:
        """Acquire the order lease if it is free, or renew it.

        Called after each renewal of the member lease.
        """
        if self.member_lease.lease_id is None:
            self.order_lease = None
            return
        if self.order_lease is None and not self.is_candidate():
            return
        key = await self._read_key()
        if key is None and self.order_lease is None and self.is_candidate():
            await self._try_acquire()
            key = await self._read_key()
        self._apply_holder_key(key)

    def due_orders(self, configuration: Configuration) -> list[SendOrder]:
        """Return the orders to send now."""
        return self.planner.plan(configuration, self.order_lease, self.clock())

    async def send(self, planned: SendOrder) -> None:
        """Send one order, unless the order lease was lost since it was planned."""
        result = await self._send(planned)
        self.planner.on_result(result, self.clock())
        match result:
            case OrderDone():
                log(
                    EventNumber.ORDER_DONE,
                    target=planned.target.name,
                    order=planned.order.kind.value,
                    argument=planned.order.argument,
                )
            case OrderFailed(is_fenced=is_fenced, detail=detail):
                log(
                    EventNumber.ORDER_FAILED,
                    target=planned.target.name,
                    order=planned.order.kind.value,
                    detail=detail,
                )
                if is_fenced:
                    self.order_lease = None

    async def _send(self, planned: SendOrder) -> OrderDone | OrderFailed:
        body = {
            "order": planned.order.kind.value,
            "argument": planned.order.argument,
            "fencing": planned.fencing,
        }
        request = self.client.build_request(
            "POST", f"{planned.target.address}/orders", json=body
        )
        order_lease = self.order_lease
        if order_lease is None or order_lease.fencing != planned.fencing:
            return OrderFailed(planned, False, "the order lease was lost")
        if not order_lease.can_send(planned.target, self.clock()):
            return OrderFailed(
                planned, False, "the order lease expires too soon to send an order"
            )
        try:
            async with asyncio.timeout(ORDER_TIMEOUT_S):
                response = await self.client.send(request)
        except (httpx.HTTPError, TimeoutError) as error:
            return OrderFailed(planned, False, f"{type(error).__name__}: {error}")
        if response.is_success:
            return OrderDone(planned)
        is_fenced = response.status_code == STATUS_STALE_TOKEN
        return OrderFailed(planned, is_fenced, f"status {response.status_code}")

    async def _try_acquire(self) -> None:
        assert self.member_lease.lease_id is not None
        put = Put(HOLDER_KEY, self._holder_value(), self.member_lease.lease_id)
        await self.kv_client.call(Transaction((ValueEquals(HOLDER_KEY, None),), (put,)))

    async def _read_key(self) -> KeyValue | None:
        read = await self.kv_client.call(Range(HOLDER_KEY))
        if isinstance(read, Err) or not isinstance(read.ok_value, RangeAnswer):
            return self._assumed_key()
        return read.ok_value.items[0] if read.ok_value.items else None

    def _assumed_key(self) -> KeyValue | None:
        """Return the key assumed during a store outage.

        The key is assumed to be unchanged; the expiry of the order lease limits for how
        long.
        """
        if self.order_lease is None or self.member_lease.lease_id is None:
            return None
        fencing = self.order_lease.fencing
        return KeyValue(
            HOLDER_KEY,
            self._holder_value(),
            fencing,
            fencing,
            lease=self.member_lease.lease_id,
        )

    def _apply_holder_key(self, key: KeyValue | None) -> None:
        is_holder = key is not None and key.value == self._holder_value()
        if key is None or not is_holder or key.lease != self.member_lease.lease_id:
            self.order_lease = None
        elif (
            self.order_lease is None or self.order_lease.fencing != key.create_revision
        ):
            self.order_lease = OrderLease(
                key.create_revision, self.clock(), self.member_lease.valid_until_s
            )
            log(EventNumber.ORDERS_TAKEN, fencing=key.create_revision)
        else:
            self.order_lease = self.order_lease.renewed(self.member_lease.valid_until_s)

    def _holder_value(self) -> bytes:
        return (
            f"{self.member_lease.member_id.entry}/"
            f"{self.member_lease.member_id.incarnation}"
        ).encode()
