"""The member lease through outages, lost answers and pauses."""

import pytest

from burdockhaven_core.identity import MemberId
from burdockhaven_core.orders import LEASE_TTL_S
from burdockhaven_entry.member_lease import MemberLease, member_key
from burdockhaven_standins.key_value_memory import MemoryKeyValue
from burdockhaven_standins.memory_link import MemoryLink

ME = MemberId("e1", "a")


# Time that the service in memory gives a lease that was kept alive.
KEEPALIVE_TTL_S = 1.0


class SlowLink:
    """Answers each call four seconds after it was sent."""

    def __init__(self, link, clock):
        self.link = link
        self.clock = clock
        self.backoff = link.backoff

    async def call(self, command):
        answer = await self.link.call(command)
        self.clock.now += 4.0
        return answer


class Clock:
    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def link():
    return MemoryLink(MemoryKeyValue())


@pytest.fixture
def seen():
    return []


@pytest.fixture
def lease(link, clock, seen):
    return MemberLease(link, ME, "127.0.0.1:9", seen.append, clock)


async def test_a_member_shows_itself_and_sees_the_others(lease, link, clock, seen):
    other = MemberLease(link, MemberId("e2", "b"), "127.0.0.1:8", seen.append, clock)
    await other.renew()
    await lease.renew()
    assert seen[-1].members == {
        ME: "127.0.0.1:9",
        MemberId("e2", "b"): "127.0.0.1:8",
    }
    assert seen[-1].own_until_s == 100.0 + LEASE_TTL_S


async def test_the_lease_is_counted_from_when_its_renewal_was_sent(
    lease, link, clock, seen
):
    await lease.renew()
    lease.link = SlowLink(link, clock)
    await lease.renew()
    assert seen[-1].own_until_s == 100.0 + KEEPALIVE_TTL_S


async def test_a_lapsed_lease_is_granted_again(lease, link, seen):
    await lease.renew()
    link.service.lapse(lease.lease)
    await lease.renew()
    assert (lease.lease, lease.until_s) == (None, 0.0)
    await lease.renew()
    assert ME in seen[-1].members


async def test_a_key_whose_write_was_lost_is_written_again(lease, link, seen):
    await lease.renew()
    link.service.items.pop(member_key(ME))
    await lease.renew()
    assert ME not in seen[-1].members
    await lease.renew()
    assert ME in seen[-1].members


async def test_an_outage_reports_nothing_and_is_retried_at_random(lease, link, seen):
    link.service.down = True
    delays = [await lease.renew() for _ in range(20)]
    assert seen == []
    assert len(set(delays)) == 20
    assert max(delays) <= 10.0
    link.service.down = False
    await lease.renew()
    assert ME in seen[-1].members


async def test_a_planned_stop_ends_the_lease(lease, link):
    await lease.renew()
    await lease.give_up()
    assert link.service.items == {}
