"""Applies the store's configuration and target entries to the state of this process."""

import asyncio
import dataclasses
from collections.abc import Callable
from dataclasses import dataclass, field

from burdockhaven_core.key_value_failure import KeyValueFailure
from burdockhaven_core.log_numbers import EventNumber
from burdockhaven_core.scheduling.hub_feed import HubFeed, HubLoss, find_hub_feed
from burdockhaven_core.scheduling.target_registry import EntryRevision, TargetEntry
from burdockhaven_entry.gateway.gateway_state import GatewayState
from burdockhaven_entry.gateway.store_era import RestorePart
from burdockhaven_entry.gateway.store_sync import (
    Announcement,
    PrefixHandlers,
    WatchTiming,
)
from burdockhaven_entry.log_events import log
from burdockhaven_entry.platform import (
    CONFIGURATION_KEY,
    CONFIGURATION_PREFIX,
    TARGETS_PREFIX,
    ChangeBatch,
    ConfigurationError,
    StoreItem,
    StoreRevision,
    TargetEntryError,
    read_configuration,
    read_target_entry,
)

# Timing for members that are not hubs, if there are hubs (`member_list.py`). Hubs
# announce new versions and leaving targets to all members, so a silent connection to
# the store does no harm. Such a member watches only while no hub informs it
# (`hub_feed.py`). The delays are shorter for the configuration, because a change has to
# be in force within two seconds.
RELAXED_CONFIGURATION_TIMING = WatchTiming(
    wait_s=10.0, batch_delay_s=0.5, max_backoff_s=2.5, catch_up_spread_s=0.2
)
RELAXED_TARGETS_TIMING = WatchTiming(
    wait_s=10.0, batch_delay_s=1.5, max_backoff_s=2.5, catch_up_spread_s=0.7
)
# Timing of the targets elsewhere. Its connection goes silent with that of the shorter
# watch of the configuration, which ends this one too; if it goes silent alone, members
# announce what leaves.
TARGETS_TIMING = WatchTiming(wait_s=3.0)
# Timing for hubs; many targets that start together write their entries again and again.
HUB_TARGETS_TIMING = WatchTiming(wait_s=3.0, batch_delay_s=0.1)
# Seconds after its start for which a member waits for hubs before it watches the store.
HUB_DISCOVERY_S = 1.5


@dataclass(slots=True)
class StoreEventHandlers:
    """Handlers for the prefixes of the configuration and of the target entries."""

    state: GatewayState
    # Set once the newest known configuration is in force and the targets are read.
    first_sync: asyncio.Event = field(default_factory=asyncio.Event)
    # Called when the store has answered with the configuration, as after a start.
    on_configuration_read: Callable[[], None] = lambda: None
    # Whether targets have changed since they were last published.
    has_unpublished_targets: bool = False
    # What is wrong with the last value of each target entry that can't be read; logged
    # once, however often its writer repeats it.
    unreadable: dict[str, str] = field(default_factory=dict)
    # Monotonic time of the start in seconds.
    started_s: float = field(init=False)

    def __post_init__(self) -> None:
        self.started_s = self.state.clock()

    def for_all_prefixes(self) -> tuple[PrefixHandlers, ...]:
        """Return the handlers of each watched prefix."""
        return (
            PrefixHandlers(
                CONFIGURATION_PREFIX,
                self._on_configuration_snapshot,
                self._on_configuration_change,
                _log_outage_end,
                self._on_configuration_outage,
                self._on_configuration_snapshot,
                RestorePart.CONFIGURATION,
                self._configuration_timing,
                self._configuration_announcement,
                on_confirmed=self._on_configuration_confirmed,
            ),
            PrefixHandlers(
                TARGETS_PREFIX,
                self._on_targets_snapshot,
                self._on_target_change,
                self._on_targets_recovered,
                self._on_targets_outage,
                self._on_targets_restored,
                RestorePart.TARGETS,
                self._targets_timing,
                self._targets_announcement,
                self._on_targets_revision,
            ),
        )

    def _configuration_timing(self) -> WatchTiming:
        return (
            RELAXED_CONFIGURATION_TIMING
            if self.state.member_list.is_follower
            else WatchTiming()
        )

    def _targets_timing(self) -> WatchTiming:
        member_list = self.state.member_list
        if member_list.is_follower:
            return RELAXED_TARGETS_TIMING
        return HUB_TARGETS_TIMING if member_list.hubs else TARGETS_TIMING

    def _configuration_announcement(self, known: StoreRevision) -> Announcement:
        return self._announcement(
            known, lambda feed: feed.config_version > self.state.version
        )

    def _targets_announcement(self, known: StoreRevision) -> Announcement:
        return self._announcement(
            known, lambda feed: feed.targets_revision > known.number
        )

    def _announcement(
        self, known: StoreRevision, is_behind: Callable[[HubFeed], bool]
    ) -> Announcement:
        now = self.state.clock()
        feed = find_hub_feed(self.state.member_list, known.era, now)
        if isinstance(feed, HubFeed):
            return Announcement.BEHIND if is_behind(feed) else Announcement.CURRENT
        if feed is HubLoss.OUT_OF_SYNC:
            return Announcement.OUTAGE
        is_settled = now - self.started_s >= HUB_DISCOVERY_S
        if self.state.member_list.hubs or is_settled:
            return Announcement.NONE
        # The hubs are not known yet; a watch would be billed until it ends.
        return Announcement.CURRENT

    def _on_targets_revision(self, revision: StoreRevision) -> None:
        """Publish the changes up to a revision; once, because it costs all targets."""
        self.state.targets_revision = revision
        if self.has_unpublished_targets:
            self.has_unpublished_targets = False
            self.state.publish_targets()

    def apply_configuration(self, data: bytes, source: str) -> None:
        """Put a configuration in force if it is valid and newer."""
        try:
            table = read_configuration(data)
        except ConfigurationError as error:
            detail = f"{source}: {error}"
            log(EventNumber.CONFIGURATION_UNREADABLE, detail=detail)
            return
        if self.state.apply_table(table, data):
            self.state.publish_targets()
            log(
                EventNumber.CONFIGURATION_IN_FORCE, version=table.version, source=source
            )
            self._announce_first_sync()

    def _announce_first_sync(self) -> None:
        state = self.state
        is_newest = state.version >= state.member_list.newest_version()
        if state.table is not None and is_newest and state.in_sync:
            state.has_synced = True
            self.first_sync.set()

    def _on_configuration_snapshot(self, batch: ChangeBatch) -> None:
        self.state.is_configuration_in_sync = True
        self.on_configuration_read()
        for item in batch.items:
            self._on_configuration_change(item, batch.revision.era)

    def _on_configuration_confirmed(self) -> None:
        self.state.configuration_confirmed_s = self.state.clock()

    def _on_configuration_outage(self, failure: KeyValueFailure) -> None:
        self.state.is_configuration_in_sync = False
        _log_outage_begin(failure)

    def _on_configuration_change(self, item: StoreItem, era: int) -> None:
        if item.key == CONFIGURATION_KEY and item.value is not None:
            self.apply_configuration(item.value, f"store revision {item.revision}")

    def _on_targets_snapshot(self, batch: ChangeBatch) -> None:
        entries = self._decode_targets(batch)
        self.state.in_sync = True
        self.state.registry.replace(
            entries, self.state.clock(), _entry_revision(batch.revision)
        )
        self.state.publish_targets()
        self._announce_first_sync()

    def _on_targets_restored(self, batch: ChangeBatch) -> None:
        entries = self._decode_targets(batch)
        self.state.registry.replace_restored(
            entries, self.state.clock(), _entry_revision(batch.revision)
        )
        self.state.publish_targets()

    def _on_target_change(self, item: StoreItem, era: int) -> None:
        registry = self.state.registry
        target_id = item.key.removeprefix(TARGETS_PREFIX)
        before = registry.entries.get(target_id)
        now = self.state.clock()
        revision = EntryRevision(era, item.revision)
        if item.value is None:
            registry.remove(target_id, now, revision)
            self.unreadable.pop(item.key, None)
        else:
            entry = self._decode_target(item, era)
            if entry is None:
                registry.discard(target_id, now, revision)
            else:
                registry.put(entry, now)
        if not _is_same_target(before, registry.entries.get(target_id)):
            self.has_unpublished_targets = True

    def _on_targets_outage(self, failure: KeyValueFailure) -> None:
        self.state.in_sync = False
        self.state.registry.begin_store_outage()
        self.state.publish_targets()
        _log_outage_begin(failure)

    def _on_targets_recovered(self, seconds: float) -> None:
        _log_outage_end(seconds)
        self.state.registry.end_store_outage(self.state.clock())

    def _decode_targets(self, batch: ChangeBatch) -> list[TargetEntry]:
        """Decode the valid entries among all items of the prefix."""
        era = batch.revision.era
        present = {item.key for item in batch.items}
        for key in self.unreadable.keys() - present:
            del self.unreadable[key]
        return [
            entry for item in batch.items if (entry := self._decode_target(item, era))
        ]

    def _decode_target(self, item: StoreItem, era: int) -> TargetEntry | None:
        """Decode a target entry; logs an invalid one and returns None."""
        target_id = item.key.removeprefix(TARGETS_PREFIX)
        try:
            entry = read_target_entry(target_id, item.value or b"")
        except TargetEntryError as error:
            self._log_unreadable(item, str(error))
            return None
        self.unreadable.pop(item.key, None)
        return dataclasses.replace(entry, revision=EntryRevision(era, item.revision))

    def _log_unreadable(self, item: StoreItem, detail: str) -> None:
        if self.unreadable.get(item.key) == detail:
            return
        self.unreadable[item.key] = detail
        log(
            EventNumber.TARGET_ENTRY_UNREADABLE,
            key=item.key,
            revision=item.revision,
            detail=detail,
        )


def _is_same_target(before: TargetEntry | None, after: TargetEntry | None) -> bool:
    """Whether an entry was at most written again without a change."""
    if before is None or after is None:
        return before is after
    return before == dataclasses.replace(after, sequence=before.sequence)


def _entry_revision(revision: StoreRevision) -> EntryRevision:
    return EntryRevision(revision.era, revision.number)


def _log_outage_begin(failure: KeyValueFailure) -> None:
    detail = f"{failure.step} at {failure.peer}: {failure.detail}"
    log(EventNumber.KEY_VALUE_OUTAGE_BEGIN, detail=detail)


def _log_outage_end(seconds: float) -> None:
    log(EventNumber.KEY_VALUE_OUTAGE_END, seconds=round(seconds, 1))
