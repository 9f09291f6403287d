"""Which software version of a service began a stream, and which versions have served.

Events of two software versions of a service must not end up in one stream, and targets
don't check this. So a member remembers the origin of each stream that it carries, and
of those that other members have sent it, for as long as a client may resume them. Any
other stream can continue only if its service has had a single version meanwhile.
"""

import hashlib
import heapq
import math
from collections.abc import Iterable
from dataclasses import dataclass

from burdockhaven_core.scheduling.member_list import MEMBER_TIMEOUT_S, MemberView
from burdockhaven_core.scheduling.peer_messages import (
    MemberId,
    StreamOrigin,
    VersionObservation,
)
from burdockhaven_core.scheduling.routing import RoutingTable
from burdockhaven_core.scheduling.target_registry import OUTAGE_GRACE_S, TargetEntry

# Members, besides the one that carries a stream, that keep its origin.
BACKUP_COUNT = 3
# Origins after which the older half is discarded early; bounds the memory.
MAX_ORIGINS = 40_000
# A client resumes a stream within this multiple of the longest timeout of a route: its
# attempt may take the whole timeout, and so may the wait before the next one.
RESUME_WINDOW_TIMEOUTS = 2.0
# Seconds for which streams may be resumed while no configuration is known.
DEFAULT_RESUME_WINDOW_S = 30.0
KEY_BYTES = 8


def stream_key(attempt_id: str) -> int:
    """Return the short key under which members exchange the origin of a stream."""
    digest = hashlib.blake2b(attempt_id.encode(), digest_size=KEY_BYTES).digest()
    return int.from_bytes(digest)


def resume_window_s(table: RoutingTable) -> float:
    """Return the seconds after its last attempt in which a stream may be resumed."""
    timeouts_s = [route.timeout_s for route in table.routes if route.resumable]
    return RESUME_WINDOW_TIMEOUTS * max(timeouts_s, default=0.0)


class StreamOrigins:
    """Origins of streams by key, each kept for at least `ttl_s`, within a bound.

    Two generations replace an expiry time for each entry: the older one is discarded
    whole. If there are too many entries, that happens early.
    """

    def __init__(
        self, ttl_s: float = DEFAULT_RESUME_WINDOW_S, max_entries: int = MAX_ORIGINS
    ) -> None:
        self.ttl_s = ttl_s
        self.max_entries = max_entries
        self.recent: dict[int, StreamOrigin] = {}
        self.older: dict[int, StreamOrigin] = {}
        # When the recent generation was begun.
        self.rotated_s = 0.0
        # Entries that were discarded before their time.
        self.discarded_early = 0
        # One object for each distinct origin.
        self.distinct: dict[StreamOrigin, StreamOrigin] = {}

    def __len__(self) -> int:
        return len(self.recent) + len(self.older)

    def record(self, key: int, origin: StreamOrigin, now: float) -> None:
        """Record the origin of a stream, or keep it for another `ttl_s`."""
        self._rotate_if_due(now)
        self.recent[key] = self.distinct.setdefault(origin, origin)

    def find(self, key: int, now: float) -> StreamOrigin | None:
        """Return the origin of a stream; None if it is not known."""
        self._rotate_if_due(now)
        return self.recent.get(key) or self.older.get(key)

    def items(self, now: float) -> dict[int, StreamOrigin]:
        """Return all streams with their origins."""
        self._rotate_if_due(now)
        return self.older | self.recent

    def _rotate_if_due(self, now: float) -> None:
        is_full = len(self.recent) >= self.max_entries // 2
        if not is_full and now - self.rotated_s < self.ttl_s:
            return
        if now - self.rotated_s < self.ttl_s:
            self.discarded_early += len(self.older)
        elif now - self.rotated_s >= 2 * self.ttl_s:
            self.recent = {}
        self.older, self.recent = self.recent, {}
        self.rotated_s = now
        self.distinct = {origin: origin for origin in self.older.values()}


class VersionHistory:
    """The software versions that have served each service, as seen by this member."""

    def __init__(self, is_first_start: bool = False) -> None:
        # Whether no stream can have begun before this member's first view.
        self.is_first_start = is_first_start
        # Versions of the registered targets, by service.
        self.present: dict[str, set[str]] = {}
        # When each version was last present or began a stream, by service and version.
        self.last_seen_s: dict[tuple[str, str], float] = {}
        # Since when every change of the targets has been seen; None if out of sync.
        self.complete_since_s: float | None = None

    def update(self, entries: Iterable[TargetEntry], in_sync: bool, now: float) -> None:
        """Apply the current entries of all targets."""
        self._touch_present(now)
        self.present = {}
        for entry in entries:
            versions = self.present.setdefault(entry.service, set())
            versions.add(entry.software_version)
        self._touch_present(now)
        if not in_sync:
            self.complete_since_s = None
        elif self.complete_since_s is None:
            self.complete_since_s = -math.inf if self.is_first_start else now
        self.is_first_start = self.is_first_start and not in_sync

    def observe(self, service: str, software_version: str, now: float) -> None:
        """Record a version that began a stream, whose target may be unknown here."""
        self.last_seen_s[service, software_version] = now

    def versions_within(self, service: str, window_s: float, now: float) -> set[str]:
        """Return the versions that are known to have served within the window."""
        return self.present.get(service, set()) | {
            version
            for (seen_service, version), seen_s in self.last_seen_s.items()
            if seen_service == service and now - seen_s <= window_s
        }

    def recent(self, window_s: float, now: float) -> set[tuple[str, str]]:
        """Return all versions, with their services, that served within the window."""
        return {
            (service, version)
            for service in self.present.keys() | {seen for seen, _ in self.last_seen_s}
            for version in self.versions_within(service, window_s, now)
        }

    def complete_for_s(self, now: float) -> float:
        """Return the seconds for which no change was missed; 0 if out of sync."""
        return 0.0 if self.complete_since_s is None else now - self.complete_since_s

    def discard_older(self, window_s: float, now: float) -> None:
        """Forget the versions that were last seen before the window."""
        for key, seen_s in list(self.last_seen_s.items()):
            if now - seen_s > window_s:
                del self.last_seen_s[key]

    def _touch_present(self, now: float) -> None:
        for service, versions in self.present.items():
            for version in versions:
                self.last_seen_s[service, version] = now


@dataclass(frozen=True, slots=True)
class SoleVersion:
    """The only software version of a service that members have seen."""

    # Empty if they have seen none, or more than one.
    software_version: str
    # Seconds until it is certain if no other is seen meanwhile; infinite without one.
    certain_in_s: float

    @property
    def is_certain(self) -> bool:
        """Whether no other version can have served within the window."""
        return self.certain_in_s <= 0.0


NO_SOLE_VERSION = SoleVersion("", math.inf)


def sole_version(
    observations: Iterable[VersionObservation], window_s: float, are_all_heard: bool
) -> SoleVersion:
    """Return the only version that members have seen, and when it is certain.

    Certain is one that a member has seen alone for the whole window. After a start of
    all members nobody has; then it suffices that all members have replied and one has
    been in sync for as long as live targets need to register again. A member that does
    not reply now does later, or times out.
    """
    known: set[str] = set()
    complete_for_s = 0.0
    for observation in observations:
        known.update(observation.versions)
        complete_for_s = max(complete_for_s, observation.complete_for_s)
    if len(known) != 1 or complete_for_s <= 0.0:
        return NO_SOLE_VERSION
    settled_in_s = OUTAGE_GRACE_S - complete_for_s
    if not are_all_heard:
        settled_in_s = max(settled_in_s, MEMBER_TIMEOUT_S)
    certain_in_s = min(settled_in_s, window_s - complete_for_s)
    return SoleVersion(known.pop(), max(0.0, certain_in_s))


def pick_backups(
    own_node: str, own_zone: str, members: Iterable[MemberView]
) -> list[MemberId]:
    """Return the members that keep the origins of the streams that this member carries.

    Other zones go first, one member each, because the members of a zone may fail
    together. Among equals a hash decides, so that all members back up equally many.
    """
    by_zone: dict[str, list[tuple[bytes, MemberId]]] = {}
    for view in members:
        if not view.heartbeat.draining:
            ranked = (_pair_digest(own_node, view.node), view.heartbeat.sender)
            by_zone.setdefault(view.heartbeat.zone, []).append(ranked)
    candidates = [
        (zone == own_zone, position, digest, member)
        for zone, ranked_members in by_zone.items()
        for position, (digest, member) in enumerate(
            heapq.nsmallest(BACKUP_COUNT, ranked_members, key=lambda ranked: ranked[0])
        )
    ]
    # The second member of another zone comes after the first ones of all other zones.
    ranked_candidates = sorted(candidates, key=lambda candidate: candidate[:3])
    return [member for *_, member in ranked_candidates[:BACKUP_COUNT]]


def _pair_digest(first: str, second: str) -> bytes:
    text = f"{first}\0{second}"
    return hashlib.blake2b(text.encode(), digest_size=KEY_BYTES).digest()
