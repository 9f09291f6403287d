"""Registry of targets that tolerates outages of the platform's store.

Targets register themselves in the store under a lease. An entry whose lease expired
during an outage is kept until the store has been reachable for `OUTAGE_GRACE_S`, and
dropped if it is still missing then.

A start of a target that leaves says so itself, and never takes that back. A missing
entry says less: its lease may have expired while a sound target could not reach the
store, and the target writes it again. So members that tell each other of a removal name
the store's revision, and a later write supersedes it.
"""

import dataclasses
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from burdockhaven_core.scheduling.peer_messages import EntryChange

# Seconds after the end of an outage within which live targets register again; the
# platform's protocol states about two seconds.
OUTAGE_GRACE_S = 2.2
# Seconds for which the removal of an entry, or its return, is announced to members.
DROPPED_ANNOUNCE_S = 10.0
# Seconds for which it is remembered that a target leaves that has no entry; a write of
# its entry that is later than that comes from a new start.
LEAVING_RETENTION_S = 600.0
# Start of a target whose entry states none, or is not known.
UNKNOWN_START_MS = 0


class EntryRevision(NamedTuple):
    """Revision of the store at which an entry was written or removed.

    The revisions of a later era of the store are higher than all earlier ones.
    """

    era: int
    number: int


# Revision of an entry that was not read from the store; lower than all others.
UNKNOWN_REVISION = EntryRevision(0, 0)


@dataclass(frozen=True, slots=True)
class TargetEntry:
    """Registration of one running target."""

    # Identifies this start of the target.
    id: str
    service: str
    # host:port.
    address: str
    zone: str
    # Requests that the target processes concurrently.
    slots: int
    # Whether the target finishes its runs and accepts no new requests.
    draining: bool
    # Unix milliseconds of the start; 0 if not stated.
    started_ms: int = 0
    # Increases with each write by the same start of the target.
    sequence: int = 0
    # Version of the target's own software, not of its weights or of the configuration;
    # empty if unknown.
    software_version: str = ""
    # Revision of this write in the store; not part of what the target states.
    revision: EntryRevision = field(default=UNKNOWN_REVISION, compare=False)

    def is_same_start(self, other: "TargetEntry") -> bool:
        """Whether the same start of a target wrote both entries."""
        return self.id == other.id and self.started_ms == other.started_ms

    def is_newer_than(self, other: "TargetEntry") -> bool:
        """Whether this entry was written later, by the same or a later start."""
        if self.is_same_start(other):
            return self.sequence > other.sequence
        return self.started_ms >= other.started_ms


@dataclass(frozen=True, slots=True)
class LeavingMark:
    """That one start of a target leaves."""

    # Unix milliseconds of the start; 0 for the first start whose entry is read.
    started_ms: int
    # When the target last was known to be present, at the latest when it was marked.
    marked_s: float


class TargetRegistry:
    """The registered targets by id."""

    def __init__(self) -> None:
        self.entries: dict[str, TargetEntry] = {}
        # The last entry of each dropped target, and when the target was dropped.
        self.dropped: dict[str, TargetEntry] = {}
        self.dropped_s: dict[str, float] = {}
        # Revision at which each missing entry was removed, or found to be missing.
        self.removals: dict[str, EntryRevision] = {}
        # Entries that were written again after their removal: the revision of the write
        # and when it was read.
        self.returns: dict[str, tuple[EntryRevision, float]] = {}
        # Targets with an entry here whose later removal another member has read, and
        # its revision.
        self.removed_elsewhere: dict[str, EntryRevision] = {}
        # Targets that were announced as leaving, by themselves or by a member.
        self.leaving: dict[str, LeavingMark] = {}
        # When to drop each entry that is missing from the store, by id.
        self.expiry_due_s: dict[str, float] = {}
        # Entries in the store that it has only because it was restored from a copy.
        self.stale: dict[str, TargetEntry] = {}
        # End of the grace period after the last outage; 0 if there was none.
        self.grace_until_s = 0.0

    def put(self, entry: TargetEntry, now: float = 0.0) -> bool:
        """Apply a write of an entry; return False if the write is outdated.

        Draining is final: later writes by the same start don't undo it. Whatever is
        known of an earlier removal is superseded.
        """
        last = self.entries.get(entry.id) or self.dropped.get(entry.id)
        if last is not None and last.is_same_start(entry):
            if entry.sequence < last.sequence:
                return False
            if last.draining and not entry.draining:
                entry = dataclasses.replace(entry, draining=True)
        else:
            self._update_mark(entry, last)
        self.entries[entry.id] = entry
        self.dropped.pop(entry.id, None)
        self.dropped_s.pop(entry.id, None)
        self.expiry_due_s.pop(entry.id, None)
        if self.removals.pop(entry.id, None) is not None:
            self.returns[entry.id] = (entry.revision, now)
        removal = self.removed_elsewhere.get(entry.id, UNKNOWN_REVISION)
        is_new_start = last is None or entry.started_ms > last.started_ms
        if is_new_start or entry.revision > removal:
            self.removed_elsewhere.pop(entry.id, None)
        return True

    def remove(
        self,
        target_id: str,
        now: float,
        revision: EntryRevision = UNKNOWN_REVISION,
    ) -> None:
        """Apply the removal of an entry: the target left, or its lease expired.

        During the grace period after an outage the entry is only marked for expiry.
        """
        if target_id not in self.entries:
            return
        self.removals[target_id] = revision
        if now < self.grace_until_s:
            self.expiry_due_s.setdefault(target_id, self.grace_until_s)
            return
        self._drop(target_id, now)

    def begin_store_outage(self) -> None:
        """Stop the expiry of missing entries, which can't reappear during an outage.

        Entries that are still missing after it get a new grace period.
        """
        self.expiry_due_s.clear()

    def end_store_outage(self, now: float) -> None:
        """Start the grace period; the store is reachable again."""
        self.grace_until_s = now + OUTAGE_GRACE_S

    def replace(
        self,
        entries: Iterable[TargetEntry],
        now: float,
        revision: EntryRevision = UNKNOWN_REVISION,
    ) -> None:
        """Apply a complete list of the entries in the store as of a revision.

        Stale entries of a restored copy count as missing until they are written anew.
        """
        found = {
            entry.id: entry for entry in entries if entry != self.stale.get(entry.id)
        }
        for target_id in self.entries.keys() - found.keys():
            self.remove(target_id, now, revision)
        for entry in found.values():
            self.put(entry, now)

    def replace_restored(
        self,
        entries: Iterable[TargetEntry],
        now: float,
        revision: EntryRevision = UNKNOWN_REVISION,
    ) -> None:
        """Apply the entries in a store that was restored from an older copy.

        Entries that are missing, or of an earlier start, are kept as they were for the
        grace period, in which their targets write them again. A target that was dropped
        stays so unless its entry is newer, and is announced again, because members that
        start now know only the copy.
        """
        self.begin_store_outage()
        self.end_store_outage(now)
        found = list(entries)
        self.stale = {entry.id: entry for entry in found if self._is_stale(entry)}
        for target_id in self.stale.keys() & self.dropped_s.keys():
            self.dropped_s[target_id] = now
            self.removals[target_id] = revision
        self.replace(found, now, revision)

    def _is_stale(self, entry: TargetEntry) -> bool:
        dropped = self.dropped.get(entry.id)
        if dropped is not None:
            return not entry.is_newer_than(dropped)
        known = self.entries.get(entry.id)
        return known is not None and known.started_ms > entry.started_ms

    def mark_leaving(
        self, target_id: str, started_ms: int = UNKNOWN_START_MS, now: float = 0.0
    ) -> bool:
        """Record that a start of a target leaves; return whether that is news.

        An unknown start stands for the one known here. A start that is earlier than it
        has ended, so that its leave changes nothing.
        """
        known = self.entries.get(target_id) or self.dropped.get(target_id)
        if known is not None:
            started_ms = started_ms or known.started_ms
            if started_ms < known.started_ms:
                return False
        mark = self.leaving.get(target_id)
        if mark is not None and mark.started_ms >= started_ms:
            return False
        self.leaving[target_id] = LeavingMark(started_ms, now)
        return True

    def _update_mark(self, entry: TargetEntry, last: TargetEntry | None) -> None:
        """Discard the mark of a start that the entry replaces."""
        mark = self.leaving.get(entry.id)
        if mark is None:
            return
        if last is None and mark.started_ms == UNKNOWN_START_MS:
            self.leaving[entry.id] = LeavingMark(entry.started_ms, mark.marked_s)
        elif entry.started_ms > mark.started_ms or (
            last is not None and last.started_ms == mark.started_ms
        ):
            del self.leaving[entry.id]

    def leaving_targets(self, now: float) -> tuple[str, ...]:
        """Return the targets whose last known start leaves by its own word."""
        leaving = [
            target_id
            for target_id, mark in self.leaving.items()
            if target_id in self.entries or now - mark.marked_s <= DROPPED_ANNOUNCE_S
        ]
        draining = [entry.id for entry in self.entries.values() if entry.draining]
        drained = [
            target_id
            for target_id in self._recently_dropped(now)
            if self.dropped[target_id].draining
        ]
        return tuple(dict.fromkeys((*leaving, *draining, *drained)))

    def announced_changes(self, now: float) -> tuple[EntryChange, ...]:
        """Return the recent removals and returns of entries, for other members.

        Only what this member itself has read from the store is announced, so that old
        news is not passed on for ever.
        """
        removals = [
            (target_id, self.removals.get(target_id, UNKNOWN_REVISION), False)
            for target_id in self._recently_dropped(now)
        ]
        returns = [
            (target_id, revision, True)
            for target_id, (revision, read_s) in self.returns.items()
            if now - read_s <= DROPPED_ANNOUNCE_S
        ]
        return tuple(
            EntryChange(
                target_id,
                self.start_of(target_id),
                revision.era,
                revision.number,
                is_present,
            )
            for target_id, revision, is_present in (*removals, *returns)
        )

    def _recently_dropped(self, now: float) -> list[str]:
        return [
            target_id
            for target_id, dropped_s in self.dropped_s.items()
            if now - dropped_s <= DROPPED_ANNOUNCE_S
        ]

    def apply_change(self, change: EntryChange) -> bool:
        """Apply a removal or return that another member has read from the store.

        Return whether it decides anew if the target may be used. It does not if the
        entry here was written later, or by a later start of the target.
        """
        entry = self.entries.get(change.target)
        revision = EntryRevision(change.era, change.revision)
        if entry is None or entry.started_ms > change.started_ms:
            return False
        if not change.is_present:
            if revision < self.removed_elsewhere.get(entry.id, entry.revision):
                return False
            is_news = entry.id not in self.removed_elsewhere
            self.removed_elsewhere[entry.id] = revision
            return is_news
        if entry.started_ms != change.started_ms or revision <= entry.revision:
            return False
        self.entries[entry.id] = dataclasses.replace(entry, revision=revision)
        removal = self.removed_elsewhere.get(entry.id)
        if removal is None or revision <= removal:
            return False
        del self.removed_elsewhere[entry.id]
        return True

    def excluded_targets(self) -> set[str]:
        """Return the targets that get no new requests whatever their entries say."""
        return {*self.leaving, *self.removed_elsewhere}

    def start_of(self, target_id: str) -> int:
        """Return the Unix milliseconds of the last known start; 0 if unknown."""
        mark = self.leaving.get(target_id)
        known = self.entries.get(target_id) or self.dropped.get(target_id)
        return max(
            UNKNOWN_START_MS if mark is None else mark.started_ms,
            UNKNOWN_START_MS if known is None else known.started_ms,
        )

    def is_usable(self, target_id: str) -> bool:
        """Whether a target may be used; True for targets that are unknown here."""
        if target_id in self.dropped or self._is_excluded(target_id):
            return False
        entry = self.entries.get(target_id)
        return entry is None or not entry.draining

    def _is_excluded(self, target_id: str) -> bool:
        return target_id in self.leaving or target_id in self.removed_elsewhere

    def expire(self, now: float) -> None:
        """Drop the entries that did not reappear within the grace period.

        Marks of targets that have been gone for long are discarded, and so are returns
        that are no longer announced.
        """
        for target_id, due in list(self.expiry_due_s.items()):
            if due <= now:
                self._drop(target_id, now)
        for target_id, mark in list(self.leaving.items()):
            is_old = now - mark.marked_s > LEAVING_RETENTION_S
            if is_old and target_id not in self.entries:
                del self.leaving[target_id]
        for target_id, (_, read_s) in list(self.returns.items()):
            if now - read_s > DROPPED_ANNOUNCE_S:
                del self.returns[target_id]

    def open_targets(self, service: str) -> list[TargetEntry]:
        """Return the service's targets that accept new requests."""
        return [
            entry
            for entry in self.entries.values()
            if entry.service == service
            and not entry.draining
            and not self._is_excluded(entry.id)
        ]

    def by_id(self) -> Mapping[str, TargetEntry]:
        """Return all entries, including those of draining and leaving targets."""
        return self.entries

    def discard(
        self,
        target_id: str,
        now: float,
        revision: EntryRevision = UNKNOWN_REVISION,
    ) -> None:
        """Drop an entry that can't be read any more, without a grace period."""
        if target_id in self.entries:
            self.removals[target_id] = revision
            self._drop(target_id, now)

    def _drop(self, target_id: str, now: float) -> None:
        self.dropped[target_id] = self.entries.pop(target_id)
        self.dropped_s[target_id] = now
        self.returns.pop(target_id, None)
        self.removed_elsewhere.pop(target_id, None)
        mark = self.leaving.get(target_id)
        if mark is not None:
            self.leaving[target_id] = dataclasses.replace(mark, marked_s=now)
        self.expiry_due_s.pop(target_id, None)
