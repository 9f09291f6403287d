"""Gives orders to engines while this member holds the right to."""

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
STATUS_STALE_TOKEN = 409


class OrderDispatcher:
    """Takes and keeps the right to give orders, and gives those that are due."""

    def __init__(
        self,
        kv_client: KvClient,
        member_lease: MemberLease,
        is_candidate: Callable[[], bool],
        clock: Callable[[], float],
    ) -> None:
        self.kv_client = kv_client
        self.member_lease = member_lease
        # Whether this member is to ask for the right if nobody has it. Only spares
        # calls: the key-value service decides.
        self.is_candidate = is_candidate
        # Gives monotonic seconds.
        self.clock = clock
        self.client = httpx.AsyncClient(timeout=ORDER_TIMEOUT_S, trust_env=False)
        self.planner = OrderPlanner()
        # None while another member has the right, or nobody.
        self.order_lease: OrderLease | None = None

    async def close(self) -> None:
        """Give no more orders and close all connections."""
        self.order_lease = None
        await self.client.aclose()

    async def renew(self) -> None:
        """Take the right if it is free, or keep it; after each renewal of the lease."""
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
        """The orders to send now."""
        return self.planner.plan(configuration, self.order_lease, self.clock())

    async def send(self, planned: SendOrder) -> None:
        """Send one order, unless the right has lapsed meanwhile."""
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
            return OrderFailed(planned, False, "the right to give orders was lost")
        if not order_lease.can_send(planned.target, self.clock()):
            return OrderFailed(planned, False, "the lease ends too soon")
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
        """What is assumed of the key in an outage: no change, up to the lease's end."""
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
