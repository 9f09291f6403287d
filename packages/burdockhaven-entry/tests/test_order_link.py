"""Who gives orders, over a service in memory and engines that record them."""

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
from burdockhaven_entry.order_link import OrderLink
from burdockhaven_standins.key_value_memory import MemoryKeyValue
from burdockhaven_standins.memory_link import MemoryLink

ROLE = TargetOrder(OrderKind.CHANGE_ROLE, "prefill")
ENGINE = TargetSpec(
    "engine-1", "http://127.0.0.1:9101", "z", checks_fencing=True, orders=(ROLE,)
)
WANTED = Configuration(
    1, {"t": Template("t", (GroupSpec("g", GroupKind.MODEL, (ENGINE,)),), ())}
)


class LossyLink:
    """Carries transactions out and loses their answers."""

    def __init__(self, service):
        self.service = service

    async def call(self, command):
        if isinstance(command, Transaction):
            return self.service.call_and_lose_answer(command)
        return self.service.call(command)


class Site:
    """One service, one engine that checks fencing, two members and their clocks."""

    def __init__(self):
        self.service = MemoryKeyValue()
        self.orders = []
        self.now = {"e1": 0.0, "e2": 0.0}
        self.members = {name: self.member(name) for name in self.now}

    def member(self, name):
        link = MemoryLink(self.service)

        def clock():
            return self.now[name]

        lease = MemberLease(link, MemberId(name, "i"), "p:1", lambda event: None, clock)
        orders = OrderLink(link, lease, lambda: True, clock)
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
        await self.members[name].lease.renew()
        self.members[name].lease.until_s = self.now[name] + LEASE_TTL_S
        await self.members[name].renew()

    async def give_orders(self, name):
        member = self.members[name]
        for sent in member.due(WANTED):
            await member.send(sent)


@pytest.fixture
def site():
    return Site()


async def test_one_member_gives_the_orders(site):
    for name in ("e1", "e2"):
        await site.renew(name)
        await site.give_orders(name)
    assert site.members["e2"].holding is None
    (order,) = site.orders
    assert (order["order"], order["argument"]) == ("change_role", "prefill")
    assert order["fencing"] == site.members["e1"].holding.fencing


async def test_the_next_holder_has_a_higher_number(site):
    await site.renew("e1")
    await site.give_orders("e1")
    await site.members["e1"].lease.give_up()
    await site.renew("e2")
    await site.give_orders("e2")
    first, second = (order["fencing"] for order in site.orders)
    assert second > first


async def test_a_holder_paused_past_its_lease_sends_nothing(site):
    await site.renew("e1")
    old = site.members["e1"]
    (planned,) = old.due(WANTED)
    site.service.lapse(old.lease.lease)
    await site.renew("e2")
    site.now["e1"] = 60.0
    await old.send(planned)
    assert site.orders == []
    await site.renew("e1")
    await site.renew("e1")
    assert old.holding is None


async def test_an_engine_refuses_a_holder_whose_clock_stood_still(site):
    await site.renew("e1")
    old = site.members["e1"]
    (planned,) = old.due(WANTED)
    site.service.lapse(old.lease.lease)
    await site.renew("e2")
    await site.give_orders("e2")
    await old.send(planned)
    assert [order["fencing"] for order in site.orders] == [
        site.members["e2"].holding.fencing
    ]
    assert old.holding is None


async def test_an_outage_leaves_the_right_until_the_lease_ends(site):
    await site.renew("e1")
    fencing = site.members["e1"].holding.fencing
    site.service.down = True
    await site.members["e1"].renew()
    assert site.members["e1"].holding.fencing == fencing
    site.now["e1"] = LEASE_TTL_S - 1.0
    assert site.members["e1"].due(WANTED) == []


async def test_a_lost_answer_to_the_asking_is_resolved_by_reading(site):
    member = site.members["e1"]
    await member.lease.renew()
    member.link = LossyLink(site.service)
    await member.renew()
    assert member.holding is not None
