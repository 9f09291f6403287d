"""Member lease: registers this process as a member in the key-value service.

The lease expires if the process dies or can no longer reach the service, and the
member's key is removed with it.
"""

from collections.abc import Callable

from result import Err, Ok

from burdockhaven_core.events import MemberLeasesRead
from burdockhaven_core.identity import EntryName, Incarnation, MemberId
from burdockhaven_core.key_value import (
    GrantLease,
    KeepLeaseAlive,
    LeaseAnswer,
    Put,
    Range,
    RangeAnswer,
    RevokeLease,
    Transaction,
)
from burdockhaven_core.log_numbers import EventNumber
from burdockhaven_core.orders import LEASE_TTL_S
from burdockhaven_entry.kv_client import KvClient
from burdockhaven_entry.log_events import log

# Seconds between renewals; each renewal also reads the leases of all members.
RENEW_INTERVAL_S = 2.0
# Largest fraction by which the interval is randomly shortened.
JITTER = 0.2
MEMBER_PREFIX = "/burdockhaven/members/"


def member_key(member: MemberId) -> str:
    """Return the key that holds the member's peer address."""
    return f"{MEMBER_PREFIX}{member.entry}/{member.incarnation}"


class MemberLease:
    """Acquires, renews and revokes the lease, and reads those of all members."""

    def __init__(
        self,
        kv_client: KvClient,
        member_id: MemberId,
        peer_address: str,
        report: Callable[[MemberLeasesRead], None],
        clock: Callable[[], float],
    ) -> None:
        self.kv_client = kv_client
        self.member_id = member_id
        self.peer_address = peer_address
        # Called with the leases of all members after each successful read.
        self.report = report
        # Returns monotonic seconds.
        self.clock = clock
        # None before the first grant and after the lease has expired.
        self.lease_id: int | None = None
        # Monotonic time until which the lease is certainly valid. It is counted from
        # when the last renewal was sent, because the service cannot have restarted the
        # lease's time to live before that.
        self.valid_until_s = 0.0

    async def renew(self) -> float:
        """Renew the lease, read all leases and return the delay to the next renewal.

        After a failure the delay is random, so that the members do not all return to
        the service at the same moment.
        """
        succeeded = await self._keep_alive() and await self._read_members()
        if not succeeded:
            return self.kv_client.backoff.next_delay_s()
        return RENEW_INTERVAL_S * (1.0 - JITTER * self.kv_client.backoff.rng.random())

    async def revoke(self) -> None:
        """Revoke the lease at a planned stop, so that no member awaits its expiry."""
        if self.lease_id is not None:
            await self.kv_client.call(RevokeLease(self.lease_id))
            self.lease_id = None
            self.valid_until_s = 0.0

    async def _keep_alive(self) -> bool:
        if self.lease_id is None:
            return await self._grant()
        sent_s = self.clock()
        renewed = await self.kv_client.call(KeepLeaseAlive(self.lease_id))
        if isinstance(renewed, Err) or not isinstance(renewed.ok_value, LeaseAnswer):
            return False
        if renewed.ok_value.ttl_s > 0:
            self.valid_until_s = sent_s + renewed.ok_value.ttl_s
            return True
        log(EventNumber.MEMBER_LEASE_LOST)
        self.lease_id = None
        self.valid_until_s = 0.0
        return False

    async def _grant(self) -> bool:
        sent_s = self.clock()
        granted = await self.kv_client.call(GrantLease(LEASE_TTL_S))
        if isinstance(granted, Err) or not isinstance(granted.ok_value, LeaseAnswer):
            return False
        self.lease_id = granted.ok_value.lease
        self.valid_until_s = sent_s + granted.ok_value.ttl_s
        return await self._write_key()

    async def _write_key(self) -> bool:
        """Write the member's key under its lease; the write is idempotent."""
        assert self.lease_id is not None
        put = Put(member_key(self.member_id), self.peer_address.encode(), self.lease_id)
        return isinstance(await self.kv_client.call(Transaction((), (put,))), Ok)

    async def _read_members(self) -> bool:
        valid_until_s = self.valid_until_s
        read = await self.kv_client.call(Range.from_prefix(MEMBER_PREFIX))
        if isinstance(read, Err) or not isinstance(read.ok_value, RangeAnswer):
            return False
        members = {}
        for item in read.ok_value.items:
            entry, _, incarnation = item.key[len(MEMBER_PREFIX) :].partition("/")
            member = MemberId(EntryName(entry), Incarnation(incarnation))
            members[member] = item.value.decode(errors="replace")
        self.report(MemberLeasesRead(members, valid_until_s))
        if self.member_id in members:
            return True
        # The earlier write did not arrive, or the service has lost the key.
        return await self._write_key()
