"""Order dispatch over an in-memory store and an engine that records its orders."""

import json

import httpx
import pytest

from burdockhaven_core.configuration import (
    Configuration,
    GroupKind,
    GroupSpec,
    OrderKind,
    TargetOrder,
    TargetSpec,
    Template,
)
from burdockhaven_core.identity import MemberId
from burdockhaven_core.key_value import Transaction
from burdockhaven_core.orders import LEASE_TTL_S
from burdockhaven_entry.member_lease import MemberLease
from burdockhaven_entry.order_dispatcher import OrderDispatcher
from burdockhaven_standins.key_value_memory import MemoryKeyValue
from burdockhaven_standins.memory_kv_client import MemoryKvClient

ROLE = TargetOrder(OrderKind.CHANGE_ROLE, "prefill")
ENGINE = TargetSpec(
    "engine-1", "http://127.0.0.1:9101", "z", checks_fencing=True, orders=(ROLE,)
)
CONFIGURATION = Configuration(
    1, {"t": Template("t", (GroupSpec("g", GroupKind.MODEL, (ENGINE,)),), ())}
)


class LossyClient:
    """Executes transactions and loses their answers."""

    def __init__(self, service):
        self.service = service

    async def call(self, command):
        if isinstance(command, Transaction):
            return self.service.call_and_lose_response(command)
        return self.service.call(command)


class Site:
    """One store, one engine that checks fencing tokens, and two members."""

    def __init__(self):
        self.service = MemoryKeyValue()
        self.orders = []
        self.now = {"e1": 0.0, "e2": 0.0}
        self.members = {name: self.member(name) for name in self.now}

    def member(self, name):
        kv_client = MemoryKvClient(self.service)

        def clock():
            return self.now[name]

        lease = MemberLease(
            kv_client, MemberId(name, "i"), "p:1", lambda event: None, clock
        )
        orders = OrderDispatcher(kv_client, lease, lambda: True, clock)
        orders.client = httpx.AsyncClient(transport=httpx.MockTransport(self.engine))
        return orders

    def engine(self, request):
        order = json.loads(request.content)
        newest = max((each["fencing"] for each in self.orders), default=0)
        if order["fencing"] < newest:
            return httpx.Response(409)
        self.orders.append(order)
        return httpx.Response(200)

    async def renew(self, name):
        await self.members[name].member_lease.renew()
        self.members[name].member_lease.valid_until_s = self.now[name] + LEASE_TTL_S
        await self.members[name].renew()

    async def send_due_orders(self, name):
        member = self.members[name]
        for planned in member.due_orders(CONFIGURATION):
            await member.send(planned)


@pytest.fixture
def site():
    return Site()


async def test_only_the_lease_holder_sends_orders(site):
    for name in ("e1", "e2"):
        await site.renew(name)
        await site.send_due_orders(name)
    assert site.members["e2"].order_lease is None
    (order,) = site.orders
    assert (order["order"], order["argument"]) == ("change_role", "prefill")
    assert order["fencing"] == site.members["e1"].order_lease.fencing


async def test_the_next_holder_has_a_higher_fencing_token(site):
    await site.renew("e1")
    await site.send_due_orders("e1")
    await site.members["e1"].member_lease.revoke()
    await site.renew("e2")
    await site.send_due_orders("e2")
    first, second = (order["fencing"] for order in site.orders)
    assert second > first


async def test_a_holder_paused_past_its_lease_sends_nothing(site):
    await site.renew("e1")
    former_holder = site.members["e1"]
    (planned,) = former_holder.due_orders(CONFIGURATION)
    site.service.expire_lease(former_holder.member_lease.lease_id)
    await site.renew("e2")
    site.now["e1"] = 60.0
    await former_holder.send(planned)
    assert site.orders == []
    await site.renew("e1")
    await site.renew("e1")
    assert former_holder.order_lease is None


async def test_an_engine_rejects_a_stale_fencing_token(site):
    await site.renew("e1")
    former_holder = site.members["e1"]
    (planned,) = former_holder.due_orders(CONFIGURATION)
    site.service.expire_lease(former_holder.member_lease.lease_id)
    await site.renew("e2")
    await site.send_due_orders("e2")
    await former_holder.send(planned)
    assert [order["fencing"] for order in site.orders] == [
        site.members["e2"].order_lease.fencing
    ]
    assert former_holder.order_lease is None


async def test_the_order_lease_survives_an_outage_until_it_expires(site):
    await site.renew("e1")
    fencing = site.members["e1"].order_lease.fencing
    site.service.down = True
    await site.members["e1"].renew()
    assert site.members["e1"].order_lease.fencing == fencing
    site.now["e1"] = LEASE_TTL_S - 1.0
    assert site.members["e1"].due_orders(CONFIGURATION) == []


async def test_a_lost_answer_to_the_acquisition_is_resolved_by_reading(site):
    member = site.members["e1"]
    await member.member_lease.renew()
    member.kv_client = LossyClient(site.service)
    await member.renew()
    assert member.order_lease is not None
