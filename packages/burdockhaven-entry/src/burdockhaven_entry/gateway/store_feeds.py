"""Takes what lies in the platform's store into the beliefs of this process."""

from dataclasses import dataclass

from burdockhaven_core.key_value_failure import KeyValueFailure
from burdockhaven_core.log_numbers import EventNumber
from burdockhaven_core.scheduling.target_registry import TargetEntry
from burdockhaven_entry.gateway.gateway_state import GatewayState
from burdockhaven_entry.gateway.store_sync import StoreFeed, WatchPace
from burdockhaven_entry.log_events import log
from burdockhaven_entry.platform import (
    CONFIGURATION_KEY,
    CONFIGURATION_PREFIX,
    TARGETS_PREFIX,
    ConfigurationError,
    Item,
    TargetEntryError,
    read_configuration,
    read_target_entry,
)

# Where hubs tell all members of new versions and of targets that leave (`roster.py`), a
# silent connection to the store costs nothing, and 87 members that each follow every
# change of every target made 200 calls a second.
# A change of the configuration has to be in force within two seconds, so it waits less
# than one of the targets.
WATCHED_BY_MANY = WatchPace(wait_s=10.0, pause_s=0.5, retry_max_s=2.5)
TARGETS_WATCHED_BY_MANY = WatchPace(wait_s=10.0, pause_s=1.5, retry_max_s=2.5)


@dataclass(slots=True)
class StoreFeeds:
    """The configuration and the targets' entries."""

    state: GatewayState

    def all(self) -> tuple[StoreFeed, ...]:
        """What is to be followed."""
        return (
            StoreFeed(
                CONFIGURATION_PREFIX,
                self._on_configuration_items,
                self._on_configuration_item,
                _log_return,
                _log_failure,
                self._configuration_pace,
            ),
            StoreFeed(
                TARGETS_PREFIX,
                self._on_all_targets,
                self._on_target,
                self._on_targets_return,
                self._on_targets_failure,
                self._targets_pace,
            ),
        )

    def _configuration_pace(self) -> WatchPace:
        return WatchPace() if self._watches_closely() else WATCHED_BY_MANY

    def _targets_pace(self) -> WatchPace:
        return WatchPace() if self._watches_closely() else TARGETS_WATCHED_BY_MANY

    def _watches_closely(self) -> bool:
        """Hubs do; they tell the others of new versions and of targets that leave."""
        member_list = self.state.member_list
        return not member_list.hubs or self.state.member_id.node in member_list.hubs

    def take_configuration(self, data: bytes, source: str) -> None:
        """Put a configuration in force if it is newer and can be read."""
        try:
            table = read_configuration(data)
        except ConfigurationError as error:
            detail = f"{source}: {error}"
            log(EventNumber.CONFIGURATION_UNREADABLE, detail=detail)
            return
        if self.state.use_table(table, data):
            self.state.targets_changed()
            log(EventNumber.CONFIGURATION_IN_FORCE, version=table.version)

    def _on_configuration_items(self, items: tuple[Item, ...]) -> None:
        for item in items:
            self._on_configuration_item(item)

    def _on_configuration_item(self, item: Item) -> None:
        if item.key == CONFIGURATION_KEY and item.value is not None:
            self.take_configuration(item.value, f"store revision {item.revision}")

    def _on_all_targets(self, items: tuple[Item, ...]) -> None:
        entries = [entry for item in items if (entry := _read_target(item))]
        self.state.in_sync = True
        self.state.registry.replace(entries, self.state.clock())
        self.state.targets_changed()

    def _on_target(self, item: Item) -> None:
        registry = self.state.registry
        target_id = item.key.removeprefix(TARGETS_PREFIX)
        if item.value is None:
            registry.remove(target_id, self.state.clock())
        else:
            entry = _read_target(item)
            if entry is None:
                registry.discard(target_id, self.state.clock())
            else:
                registry.put(entry)
        self.state.targets_changed()

    def _on_targets_failure(self, failure: KeyValueFailure) -> None:
        self.state.in_sync = False
        self.state.registry.begin_store_outage()
        _log_failure(failure)

    def _on_targets_return(self, seconds: float) -> None:
        _log_return(seconds)
        self.state.registry.end_store_outage(self.state.clock())


def _read_target(item: Item) -> TargetEntry | None:
    """The target of an entry; None, with a log line, if it names none."""
    target_id = item.key.removeprefix(TARGETS_PREFIX)
    try:
        return read_target_entry(target_id, item.value or b"")
    except TargetEntryError as error:
        log(
            EventNumber.TARGET_ENTRY_UNREADABLE,
            key=item.key,
            revision=item.revision,
            detail=str(error),
        )
        return None


def _log_failure(failure: KeyValueFailure) -> None:
    detail = f"{failure.step} at {failure.peer}: {failure.detail}"
    log(EventNumber.KEY_VALUE_OUTAGE_BEGIN, detail=detail)


def _log_return(seconds: float) -> None:
    log(EventNumber.KEY_VALUE_OUTAGE_END, seconds=round(seconds, 1))
