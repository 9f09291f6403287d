"""The targets that registered themselves, through outages of the store.

An entry that lapsed while the store was away is kept until the store has been back for
`RETURN_GRACE_S`; one that is still missing then is gone.
"""

import dataclasses
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

# Seconds after the store's return within which live targets register again; the
# platform's protocol says about two seconds.
OUTAGE_GRACE_S = 2.2
# Seconds for which other members are told that a target is gone.
DROPPED_ANNOUNCE_S = 10.0


@dataclass(frozen=True, slots=True)
class TargetEntry:
    """One running target."""

    # Identity of this start of the target.
    id: str
    service: str
    # host:port.
    address: str
    zone: str
    # Requests that it processes at once.
    slots: int
    # Whether it finishes its work and takes none.
    draining: bool
    # Unix milliseconds of its start; 0 if it does not say.
    started_ms: int = 0
    # Grows with each write of one start.
    sequence: int = 0

    def is_same_start(self, other: "TargetEntry") -> bool:
        """Whether both entries were written by one start of the target."""
        return self.id == other.id and self.started_ms == other.started_ms


class TargetRegistry:
    """The registered targets by id."""

    def __init__(self) -> None:
        self.entries: dict[str, TargetEntry] = {}
        # The last entry of each target that was dropped, and when that was.
        self.dropped: dict[str, TargetEntry] = {}
        self.dropped_s: dict[str, float] = {}
        # Targets that are known to leave although their entry does not say so.
        self.leaving: set[str] = set()
        # When entries that the store does not hold are dropped, by id.
        self.expiry_due_s: dict[str, float] = {}
        # Until when missing entries may still come back; 0 while the store is steady.
        self.grace_until_s = 0.0

    def put(self, entry: TargetEntry) -> bool:
        """Take in an entry as it was written; False if it is a late, older write.

        A start of a target that has drained takes no work again.
        """
        last = self.entries.get(entry.id) or self.dropped.get(entry.id)
        if last is not None and last.is_same_start(entry):
            if entry.sequence < last.sequence:
                return False
            if last.draining and not entry.draining:
                entry = dataclasses.replace(entry, draining=True)
        else:
            self.leaving.discard(entry.id)
        self.entries[entry.id] = entry
        self.dropped.pop(entry.id, None)
        self.dropped_s.pop(entry.id, None)
        self.expiry_due_s.pop(entry.id, None)
        return True

    def remove(self, target_id: str, now: float) -> None:
        """The entry was removed; its target left, or its lease lapsed in an outage."""
        if target_id not in self.entries:
            return
        if now < self.grace_until_s:
            self.expiry_due_s.setdefault(target_id, self.grace_until_s)
            return
        self._drop(target_id, now)

    def begin_store_outage(self) -> None:
        """The store does not answer; what it does not hold can't come back either.

        Entries that were missing are judged anew after its return.
        """
        self.expiry_due_s.clear()

    def end_store_outage(self, now: float) -> None:
        """The store answers again after it did not for a while."""
        self.grace_until_s = now + OUTAGE_GRACE_S

    def replace(self, entries: Iterable[TargetEntry], now: float) -> None:
        """Take in a whole list of entries."""
        found = {entry.id: entry for entry in entries}
        for target_id in self.entries.keys() - found.keys():
            self.remove(target_id, now)
        for entry in found.values():
            self.put(entry)

    def mark_leaving(self, target_id: str) -> None:
        """The target itself or a member said that it leaves."""
        if target_id in self.entries:
            self.leaving.add(target_id)

    def unusable_targets(self, now: float) -> tuple[str, ...]:
        """Targets that members who cannot read the store should not use."""
        draining = [entry.id for entry in self.entries.values() if entry.draining]
        dropped = [
            i for i, s in self.dropped_s.items() if now - s <= DROPPED_ANNOUNCE_S
        ]
        return (*self.leaving, *draining, *dropped)

    def is_usable(self, target_id: str) -> bool:
        """Whether a target may be used, as far as is known here."""
        if target_id in self.leaving or target_id in self.dropped:
            return False
        entry = self.entries.get(target_id)
        return entry is None or not entry.draining

    def expire(self, now: float) -> None:
        """Drop the entries that did not come back in time."""
        for target_id, due in list(self.expiry_due_s.items()):
            if due <= now:
                self._drop(target_id, now)

    def open_targets(self, service: str) -> list[TargetEntry]:
        """The service's targets that take new work."""
        return [
            entry
            for entry in self.entries.values()
            if entry.service == service
            and not entry.draining
            and entry.id not in self.leaving
        ]

    def by_id(self) -> Mapping[str, TargetEntry]:
        """All entries, whether their targets take work or not."""
        return self.entries

    def discard(self, target_id: str, now: float) -> None:
        """The entry can't be read any more and names no target to use."""
        if target_id in self.entries:
            self._drop(target_id, now)

    def _drop(self, target_id: str, now: float) -> None:
        self.dropped[target_id] = self.entries.pop(target_id)
        self.dropped_s[target_id] = now
        self.leaving.discard(target_id)
        self.expiry_due_s.pop(target_id, None)
