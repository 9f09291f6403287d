"""Member leases under store outages, lost writes and slow answers."""

import pytest

from burdockhaven_core.identity import MemberId
from burdockhaven_core.orders import LEASE_TTL_S
from burdockhaven_entry.member_lease import MemberLease, member_key
from burdockhaven_standins.key_value_memory import MemoryKeyValue
from burdockhaven_standins.memory_kv_client import MemoryKvClient

ME = MemberId("e1", "a")


# Time to live that the in-memory service returns for a keepalive.
KEEPALIVE_TTL_S = 1.0


class SlowClient:
    """Advances the clock by four seconds with each call."""

    def __init__(self, kv_client, clock):
        self.kv_client = kv_client
        self.clock = clock
        self.backoff = kv_client.backoff

    async def call(self, command):
        answer = await self.kv_client.call(command)
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
def kv_client():
    return MemoryKvClient(MemoryKeyValue())


@pytest.fixture
def reports():
    return []


@pytest.fixture
def lease(kv_client, clock, reports):
    return MemberLease(kv_client, ME, "127.0.0.1:9", reports.append, clock)


async def test_renewal_registers_the_member_and_reads_the_others(
    lease, kv_client, clock, reports
):
    other = MemberLease(
        kv_client, MemberId("e2", "b"), "127.0.0.1:8", reports.append, clock
    )
    await other.renew()
    await lease.renew()
    assert reports[-1].members == {
        ME: "127.0.0.1:9",
        MemberId("e2", "b"): "127.0.0.1:8",
    }
    assert reports[-1].own_lease_until_s == 100.0 + LEASE_TTL_S


async def test_the_lease_expiry_is_counted_from_the_send_time(
    lease, kv_client, clock, reports
):
    await lease.renew()
    lease.kv_client = SlowClient(kv_client, clock)
    await lease.renew()
    assert reports[-1].own_lease_until_s == 100.0 + KEEPALIVE_TTL_S


async def test_an_expired_lease_is_granted_again(lease, kv_client, reports):
    await lease.renew()
    kv_client.service.expire_lease(lease.lease_id)
    await lease.renew()
    assert (lease.lease_id, lease.valid_until_s) == (None, 0.0)
    await lease.renew()
    assert ME in reports[-1].members


async def test_a_key_whose_write_was_lost_is_written_again(lease, kv_client, reports):
    await lease.renew()
    kv_client.service.items.pop(member_key(ME))
    await lease.renew()
    assert ME not in reports[-1].members
    await lease.renew()
    assert ME in reports[-1].members


async def test_an_outage_reports_nothing_and_is_retried_with_jitter(
    lease, kv_client, reports
):
    kv_client.service.down = True
    delays = [await lease.renew() for _ in range(20)]
    assert reports == []
    assert len(set(delays)) == 20
    assert max(delays) <= 10.0
    kv_client.service.down = False
    await lease.renew()
    assert ME in reports[-1].members


async def test_revoking_the_lease_removes_the_member_key(lease, kv_client):
    await lease.renew()
    await lease.revoke()
    assert kv_client.service.items == {}
