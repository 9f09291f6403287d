"""Keeps the member's lease and its configuration in step with the platform."""

from collections.abc import Callable

from result import Err, Ok

from burdockhaven_core.configuration import Configuration
from burdockhaven_core.configuration_store import Newer, Same, synchronise
from burdockhaven_core.events import ConfigurationRead, Event, MemberLeasesRead
from burdockhaven_core.identity import EntryName, Incarnation, MemberId
from burdockhaven_core.key_value import (
    GrantLease,
    KeepLeaseAlive,
    LeaseAnswer,
    Put,
    Range,
    RangeAnswer,
    Transaction,
)
from burdockhaven_entry.kv_link import KvLink

LEASE_S = 10
MEMBER_PREFIX = "/burdockhaven/members/"


class PlatformSync:
    """The loops over the key-value service."""

    def __init__(
        self,
        link: KvLink,
        me: MemberId,
        peer_address: str,
        report: Callable[[Event], None],
        clock: Callable[[], float],
    ) -> None:
        self.link = link
        self.me = me
        self.peer_address = peer_address
        self.report = report
        self.clock = clock
        self.lease = 0
        self.until_s = 0.0

    async def synchronise(self, known: Configuration) -> None:
        """Take in a newer configuration from the service, or write a newer back."""
        match await self.link.run(synchronise(known)):
            case Newer(configuration):
                self.report(ConfigurationRead(configuration))
            case Same():
                self.report(ConfigurationRead(known))

    async def renew(self) -> None:
        """Keep the own lease alive and read those of the others."""
        sent_s = self.clock()
        if self.lease == 0:
            await self._grant(sent_s)
        else:
            kept = await self.link.call(KeepLeaseAlive(self.lease))
            self._keep(kept.ok_value if isinstance(kept, Ok) else None, sent_s)
        until_s = self.until_s
        read = await self.link.call(Range.from_prefix(MEMBER_PREFIX))
        if isinstance(read, Err) or not isinstance(read.ok_value, RangeAnswer):
            return
        members = {}
        for item in read.ok_value.items:
            entry, _, incarnation = item.key[len(MEMBER_PREFIX) :].partition("/")
            member = MemberId(EntryName(entry), Incarnation(incarnation))
            members[member] = item.value.decode()
        self.report(MemberLeasesRead(members, until_s))

    async def _grant(self, sent_s: float) -> None:
        granted = await self.link.call(GrantLease(LEASE_S))
        if isinstance(granted, Err) or not isinstance(granted.ok_value, LeaseAnswer):
            return
        lease = granted.ok_value
        key = f"{MEMBER_PREFIX}{self.me.entry}/{self.me.incarnation}"
        put = Put(key, self.peer_address.encode(), lease.lease)
        written = await self.link.call(Transaction((), (put,)))
        if isinstance(written, Ok):
            self.lease = lease.lease
            self.until_s = sent_s + lease.ttl_s

    def _keep(self, answer: object, sent_s: float) -> None:
        if not isinstance(answer, LeaseAnswer):
            return
        if answer.ttl_s == 0:
            self.lease = 0
            return
        self.until_s = sent_s + answer.ttl_s
