"""Shared state of one gateway process: settings, members, targets, quotas, routes."""

import math
import random
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, field

import msgspec

from burdockhaven_core.request_quarantine import RequestQuarantine
from burdockhaven_core.scheduling import (
    Broker,
    MemberList,
    QuotaRule,
    Quotas,
    RetryBudget,
    RetryRule,
    RoutingTable,
    TargetEntry,
    TargetRegistry,
)
from burdockhaven_core.scheduling.peer_messages import (
    Heartbeat,
    MemberId,
    PausedTarget,
)
from burdockhaven_core.scheduling.plain_balancer import AwaitedTarget, PlainBalancer
from burdockhaven_core.scheduling.records_wait import RecordsWait
from burdockhaven_core.scheduling.stream_origins import (
    StreamOrigins,
    VersionHistory,
    resume_window_s,
)
from burdockhaven_core.scheduling.target_limits import broker_rates, member_rates
from burdockhaven_core.scheduling.target_signals import TargetSignals
from burdockhaven_core.scheduling.version_records import VersionHold
from burdockhaven_entry.gateway.client_load import ClientLoad
from burdockhaven_entry.gateway.gateway_metrics import GatewayMetrics
from burdockhaven_entry.gateway.store_era import StoreEras
from burdockhaven_entry.gateway.target_signal_log import TargetSignalLog
from burdockhaven_entry.gateway.unknown_headers import UnknownHeaders
from burdockhaven_entry.platform import (
    PlatformSettings,
    StoreRevision,
    TargetResponseHead,
)

# Fraction of the platform's quota slack that is used while the usage of all members is
# known; the rest covers brokers that overlap and heartbeats under way.
QUOTA_SLACK_FRACTION = 0.4
# The same while other requests wait, or while some members can't be heard and may serve
# another part of a partition.
MIN_SLACK_FRACTION = 0.15
# Fraction of the time in which a version has to be in force, after which the one that
# is known may be superseded unless the store has confirmed it. The rest is for the way
# of a request and of a heartbeat.
CONFIRMATION_FRACTION = 0.9
# Highest age of a confirmation that is announced, in seconds.
MAX_ANNOUNCED_AGE_S = 3_600.0
# Fraction of the slack that clients may use at once after all members have ended.
RECOVERY_SLACK_FRACTION = 0.25


@dataclass(slots=True)
class GatewayState:
    """State that the parts of one gateway process share."""

    settings: PlatformSettings
    member_id: MemberId
    # Unix time of the start in milliseconds.
    started_ms: int
    clock: Callable[[], float]
    rng: random.Random
    member_list: MemberList
    registry: TargetRegistry
    balancer: PlainBalancer
    broker: Broker
    # Quota usage of the requests that this process itself has sent, and the part of it
    # that was sent to plain services, without a broker's decision.
    own_usage: Quotas
    own_plain_usage: Quotas
    retry_budget: RetryBudget
    target_signals: TargetSignalLog
    # Request contents beneath which targets have ended.
    request_quarantine: RequestQuarantine
    store_eras: StoreEras
    # Software versions that began streams, and that have served.
    stream_origins: StreamOrigins
    version_history: VersionHistory
    # Memory and connections that clients occupy.
    client_load: ClientLoad
    # Keeps versions out of use until they are recorded; None if they are not recorded.
    version_hold: VersionHold | None = None
    # Called after each change of the targets or of the configuration.
    on_targets_published: Callable[[], None] = lambda: None
    # The configuration in force and its encoded form; None and empty before the first.
    table: RoutingTable | None = None
    table_bytes: bytes = b""
    draining: bool = False
    metrics: GatewayMetrics = field(default_factory=GatewayMetrics)
    unknown_headers: UnknownHeaders = field(default_factory=UnknownHeaders)
    # Whether the view of the targets' entries is in sync with the store.
    in_sync: bool = False
    # Whether the store would tell this process of a newer configuration.
    is_configuration_in_sync: bool = False
    # Whether the newest known configuration and the targets have been read once.
    has_synced: bool = False
    # Returns seconds that go on while the VM is suspended.
    boot_clock: Callable[[], float] = lambda: 0.0
    # Until when on that clock this member is registered in the store for certain;
    # infinite for members that don't register.
    lease_until_s: float = math.inf
    # When the store last confirmed that the configuration in force is the newest;
    # infinite for processes that don't watch the store.
    configuration_confirmed_s: float = math.inf
    # Sequence number of the last heartbeat.
    sequence: int = 0
    # Store revision of the last change of a target's entry that was applied; None
    # before the first read.
    targets_revision: StoreRevision | None = None

    @classmethod
    def from_settings(
        cls,
        settings: PlatformSettings,
        incarnation: int,
        started_ms: int,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> "GatewayState":
        """Create the state of a process that starts now."""
        member_id = MemberId(settings.node, incarnation)
        rule = QuotaRule(
            settings.quota_window_s,
            slack=settings.quota_slack * QUOTA_SLACK_FRACTION,
            min_slack=settings.quota_slack * MIN_SLACK_FRACTION,
            recovery_slack=settings.quota_slack * RECOVERY_SLACK_FRACTION,
        )
        retry_rule = RetryRule(
            settings.retry_ratio, settings.retry_window_s, settings.retry_slack
        )
        now = clock()
        broker = Broker(rule)
        member_list = MemberList(member_id)
        member_list.quota_excess = settings.quota_excess
        member_list.quota_window_s = settings.quota_window_s

        def list_serving_nodes() -> list[str]:
            views = member_list.serving(clock())
            return [settings.node, *(view.node for view in views)]

        broker.runs.paces_all = settings.targets_end_when_overfull
        broker.guards_memory = settings.targets_end_when_overfull
        broker.divides_engines = settings.targets_end_when_overfull
        registry = TargetRegistry()
        if not settings.first_start:
            # Members that have ended may have used up the quotas and recorded parts.
            broker.quotas.usage_known_since_s = now
            broker.records_wait = RecordsWait(is_pending=True)
        return cls(
            settings=settings,
            member_id=member_id,
            started_ms=started_ms,
            clock=clock,
            rng=rng,
            member_list=member_list,
            registry=registry,
            balancer=PlainBalancer(rng),
            broker=broker,
            own_usage=Quotas(rule),
            own_plain_usage=Quotas(rule),
            retry_budget=(
                RetryBudget(retry_rule)
                if settings.first_start
                else RetryBudget(retry_rule, now)
            ),
            target_signals=TargetSignalLog(settings.node, TargetSignals(registry, rng)),
            request_quarantine=RequestQuarantine(settings.node, list_serving_nodes),
            store_eras=StoreEras(clock),
            stream_origins=StreamOrigins(),
            version_history=VersionHistory(settings.first_start),
            client_load=ClientLoad.from_limits(
                settings.memory_bytes, settings.max_descriptors
            ),
        )

    @property
    def ready(self) -> bool:
        """Whether the process accepts requests of clients."""
        return self.table is not None and not self.draining

    @property
    def version(self) -> int:
        """Version of the configuration in force; 0 if there is none."""
        return 0 if self.table is None else self.table.version

    def has_lease(self) -> bool:
        """Whether this member's registration can't have expired in the store."""
        return self.boot_clock() < self.lease_until_s

    def configuration_age_s(self) -> float:
        """Seconds since the store last confirmed the configuration in force.

        It may have confirmed it to a member that this one hears. Infinite if it never
        has, or if neither is in sync with the store.
        """
        now = self.clock()
        confirmed_s = self.member_list.configuration_confirmed_s(self.version, now)
        if self.is_configuration_in_sync:
            confirmed_s = max(confirmed_s, self.configuration_confirmed_s)
        return max(0.0, now - confirmed_s)

    def may_be_superseded(self) -> bool:
        """Whether there may be a newer configuration that has to be in force.

        That is so if a member has announced one, or if the store has not confirmed the
        one in force for as long as a newer one may take: a watch that waits proves
        nothing, because its connection may have gone silent.
        """
        if self.member_list.newest_version() > self.version:
            return True
        limit_s = CONFIRMATION_FRACTION * self.settings.configuration_apply_s
        return self.configuration_age_s() > limit_s

    @property
    def peer_address(self) -> str:
        """Address to which other members send datagrams."""
        return f"{self.settings.ip}:{self.settings.peer_port}"

    def heartbeat(self) -> Heartbeat:
        """Build the heartbeat that announces the state of this process."""
        now = self.clock()
        leaving = self.registry.leaving_targets(now)
        return msgspec.structs.replace(
            self.heartbeat_head(),
            leaving=leaving,
            exhausted_accounts=self._announced_exhausted_accounts(now),
            usage=self.usage(),
            timed_out_nodes=self.member_list.timed_out_nodes(now),
            store_era=self.store_eras.current,
            limits=self.target_signals.signals.limits.announced(now),
            leaving_started_ms=tuple(map(self.registry.start_of, leaving)),
            accused_parts=self.broker.crashes.announced(now),
            targets_revision=self._announced_targets_revision(),
            accused_requests=self.request_quarantine.announced(now),
            entry_changes=self.registry.announced_changes(now),
            configuration_age_ms=self._announced_configuration_age_ms(now),
        )

    def heartbeat_head(self) -> Heartbeat:
        """Build a heartbeat without what grows with targets, members or accounts.

        It says whether this member can be the broker, which is asked at each request.
        """
        return Heartbeat(
            sender=self.member_id,
            sequence=self.sequence,
            started_ms=self.started_ms,
            peer_address=self.peer_address,
            control_address=self.settings.control_address,
            front_address=self.settings.front_address,
            zone=self.settings.zone,
            ready=self.table is not None,
            draining=self.draining,
            config_version=self.version,
            in_sync=self.in_sync,
            processor_percent=round(self.settings.processor_cores * 100),
        )

    def _announced_configuration_age_ms(self, now: float) -> int:
        age_s = now - self.configuration_confirmed_s
        return round(1e3 * min(max(0.0, age_s), MAX_ANNOUNCED_AGE_S))

    def _announced_exhausted_accounts(self, now: float) -> tuple[str, ...]:
        """Return the accounts without quota; none at members that can't be the broker.

        The others use only what the broker, one of the hubs, announces.
        """
        if self.member_list.is_follower:
            return ()
        return self.broker.exhausted_accounts(now)

    def _announced_targets_revision(self) -> int:
        """Return the revision of the targets; 0 while they are those of another era."""
        revision = self.targets_revision
        if revision is None or revision.era != self.store_eras.current:
            return 0
        return revision.number

    def usage(self) -> tuple[tuple[str, int], ...]:
        """Quota units that this process has used within the window, by account."""
        now = self.clock()
        return tuple(
            (account, int(window.sum(now)))
            for account, window in self.own_usage.windows.items()
        )

    def record_usage(self, heartbeat: Heartbeat, now: float) -> None:
        """Record the quota usage that a member, or this one, reports."""
        self.broker.quotas.record_usage(heartbeat.sender, heartbeat.usage, now)

    def record_response(
        self, target: TargetEntry, head: TargetResponseHead, now: float
    ) -> None:
        """Record and apply what a response says of the target that it comes from."""
        self.unknown_headers.record(target.id, head.unknown_headers)
        changes = self.target_signals.record_response(target, head, now)
        if changes.limit:
            self.apply_limits(now)
        if changes.has_left:
            self.publish_targets()
        if changes.pause is not None:
            self.balancer.record_pause(target.id, changes.pause, now)

    def admits_retry(self, service: str) -> bool:
        """Whether the retry budget has room for one more send to the service."""
        now = self.clock()
        members = self.member_list.known_count()
        return self.retry_budget.admits(service, members, now)

    def acquire_retry(self, service: str) -> bool:
        """Charge one more send to the retry budget; False if it has no room."""
        now = self.clock()
        members = self.member_list.known_count()
        is_acquired = self.retry_budget.try_acquire(service, members, now)
        self.metrics.retries[service] += is_acquired
        self.metrics.refused_retries[service] += not is_acquired
        return is_acquired

    def admits_content(self, content: int) -> bool:
        """Whether a target may get a request with the content now."""
        return self.request_quarantine.admits(content, self.clock())

    def record_send_of_content(self, content: int, target: TargetEntry) -> None:
        """Record that a request with the content is sent to a target."""
        self.request_quarantine.record_send(
            content, target.id, target.started_ms, self.clock()
        )

    def record_end_beneath(self, content: int, target: TargetEntry) -> None:
        """Record that a target ended the connection of a request without a response."""
        self.request_quarantine.record_end(
            content, target.id, target.started_ms, self.clock()
        )

    def usable_targets(self, service: str) -> list[TargetEntry]:
        """Return the service's targets to which this process may send now."""
        return self.target_signals.signals.usable_targets(service, self.clock())

    def paused_targets(self, service: str) -> tuple[PausedTarget, ...]:
        """Return the service's targets that are paused for this process."""
        return self.target_signals.signals.paused_targets(service, self.clock())

    def is_paused(self, target_id: str) -> bool:
        """Whether this process must send nothing to the target for now."""
        return self.target_signals.signals.is_paused(target_id, self.clock())

    def awaited_targets(self, service: str) -> list[AwaitedTarget]:
        """Return the plain service's targets that may take requests in a while."""
        now = self.clock()
        return [
            AwaitedTarget(entry, left_s)
            for entry, left_s in self.target_signals.signals.pauses_left_s(service, now)
            if left_s or self.balancer.has_probe(entry)
        ]

    def pause_left_s(self, service: str) -> float:
        """Return the seconds until a pause leaves a target usable; 0 without one."""
        return self.target_signals.signals.pause_left_s(service, self.clock())

    def record_announced_limits(self, heartbeat: Heartbeat, now: float) -> None:
        """Record and apply the limits that another member announces."""
        changes = [
            self.target_signals.record_limit(
                limit.target,
                limit.limit_per_s,
                now - limit.age_ms / 1e3,
                heartbeat.sender.node,
            )
            for limit in heartbeat.limits
        ]
        if any(changes):
            self.apply_limits(now)

    def record_announced_leaving(self, heartbeat: Heartbeat, now: float) -> None:
        """Record and apply which targets a member announces as leaving or gone."""
        has_left = self.target_signals.record_announced_leaving(heartbeat, now)
        has_changed = self.target_signals.record_entry_changes(heartbeat)
        if has_left or has_changed:
            self.publish_targets()

    def apply_limits(self, now: float) -> None:
        """Apply the limits in force to the broker and the balancer.

        Called again at each heartbeat, because the parts depend on the members.
        """
        limits = self.target_signals.signals.limits.in_force()
        nodes = self._sending_nodes(now) if limits else []
        share = self.broker.quotas.share
        self.broker.limiters.set_rates(broker_rates(limits, share), now)
        self.balancer.limiters.set_rates(
            member_rates(limits, self.member_id.node, nodes), now
        )

    def _sending_nodes(self, now: float) -> list[str]:
        """Return the other members that may send to targets, also beyond a cut."""
        views = (
            *self.member_list.serving(now),
            *self.member_list.silent_members(now),
        )
        return [view.node for view in views]

    def publish_targets(self) -> None:
        """Publish a change of the target registry to the broker and the balancer."""
        now = self.clock()
        leaving = self.registry.excluded_targets()
        self.broker.set_targets(self._recorded_entries(leaving, now), leaving)
        self.balancer.retain(self.registry.entries)
        self.target_signals.retain(self.registry.entries)
        self.version_history.update(self.registry.entries.values(), self.in_sync, now)
        self.version_history.discard_older(self.stream_origins.ttl_s, now)
        self.on_targets_published()

    def _recorded_entries(
        self, leaving: set[str], now: float
    ) -> Mapping[str, TargetEntry]:
        """Return the entries without those of versions that are not recorded yet."""
        hold = self.version_hold
        if hold is None:
            return self.registry.entries
        hold.services = frozenset(self._resumable_services())
        # Before the change that is published now: a version that returns is not known.
        hold.retain(self.version_history.recent(self.stream_origins.ttl_s, now))
        return hold.usable(self.registry.entries, leaving)

    def _resumable_services(self) -> Iterator[str]:
        for route in () if self.table is None else self.table.routes:
            if route.resumable:
                yield from (share.service for share in route.shares)

    def apply_table(self, table: RoutingTable, data: bytes) -> bool:
        """Put a configuration in force if it is newer; returns whether it was."""
        if table.version <= self.version:
            return False
        self.table, self.table_bytes = table, data
        self.broker.set_table(table)
        self.stream_origins.ttl_s = resume_window_s(table)
        return True
