"""Finds the request contents beneath which targets end, and keeps them from targets.

A target that ends takes all of its requests with it, and each member sees only its own.
So an end accuses the contents of all requests whose connection it closed, and members
tell each other. A request that is answered acquits its content, because a content that
ends targets ends every one. A content that stays accused at the ends of several targets
is quarantined.
"""

import hashlib
import heapq
import math
from collections import OrderedDict
from collections.abc import Callable, Iterable

from burdockhaven_core.request_quarantine.accused_request import (
    QUARANTINE_ENDS,
    AccusedRequest,
    ContentChange,
    ContentChangeKind,
    quarantine_s,
)
from burdockhaven_core.scheduling.peer_messages import AccusedRequestNotice

# Seconds after an answer in which an end does not accuse its content. The requests of a
# content that many send are at every target that ends.
ANSWERED_FOR_S = 2.0
# Seconds between the times at which the members may try a content again, one after the
# other in an order that all know, and in which many members have all had their turn.
TRIAL_STAGGER_S = 10.0
TRIAL_SPREAD_S = 120.0
# Seconds for which an acquittal is announced.
ACQUITTAL_ANNOUNCE_S = 10.0
# Upper bounds of the contents that are remembered, and of those in one heartbeat.
MAX_ACCUSED = 256
MAX_ANSWERED = 4_096
MAX_ANNOUNCED = 16
MAX_CHANGES = 256


class RequestQuarantine:
    """The request contents accused of ending targets, as one member knows them."""

    def __init__(self, node: str, list_nodes: Callable[[], Iterable[str]]) -> None:
        self.node = node
        # Returns the nodes of the members that serve.
        self.list_nodes = list_nodes
        self.accused: dict[int, AccusedRequest] = {}
        # When a request with each content was last answered, the least recent first.
        self.answered_s: OrderedDict[int, float] = OrderedDict()
        # When each accused content was answered, and until when that is announced.
        self.acquittals: dict[int, tuple[float, float]] = {}
        self.changes: list[ContentChange] = []

    def record_end(
        self, content: int, target: str, started_ms: int, now: float
    ) -> None:
        """Record that a start of a target ended beneath a request with the content."""
        self._forget(now)
        ends = ((end_key(target, started_ms), now),)
        self._accuse(content, ends, target, now)

    def record_answered(self, content: int, target: str, now: float) -> None:
        """Record that a target answered a request with the content."""
        self._acquit(content, now, target, now)

    def record_send(
        self, content: int, target: str, started_ms: int, now: float
    ) -> None:
        """Record that a request is sent to a start of a target.

        One with a proven content is a trial. Its target counts as ended at once, until
        it answers, so that the quarantine is in force again before other members send
        another one, and a trial that is rejected or given up is not repeated soon.
        """
        accused = self.accused.get(content)
        if accused is not None and self._proven_ends(accused) >= QUARANTINE_ENDS:
            self.record_end(content, target, started_ms, now)

    def admits(self, content: int, now: float) -> bool:
        """Whether a target may get a request with the content now."""
        accused = self.accused.get(content)
        if accused is None:
            return True
        ends = self._proven_ends(accused)
        if ends < QUARANTINE_ENDS:
            return True
        until_s = accused.last_end_s + quarantine_s(ends)
        return now >= until_s and now >= until_s + self._trial_delay_s(content)

    def quarantined(self, now: float) -> list[int]:
        """Return the contents in quarantine."""
        return [
            content
            for content, accused in self.accused.items()
            if accused.last_end_s + quarantine_s(self._proven_ends(accused)) > now
            and self._proven_ends(accused) >= QUARANTINE_ENDS
        ]

    def proven(self) -> dict[int, dict[int, float]]:
        """Return the contents that targets may not get, each with its ends.

        The ends are by their keys, at monotonic times in seconds.
        """
        return {
            content: accused.ends
            for content, accused in self.accused.items()
            if len(accused.ends) >= QUARANTINE_ENDS
        }

    def announced(self, now: float) -> tuple[AccusedRequestNotice, ...]:
        """Return what other members need to know, whoever observed it."""
        if not self.accused and not self.acquittals:
            return ()
        self._forget(now)
        answered = heapq.nlargest(
            MAX_ANNOUNCED, self.acquittals.items(), key=lambda item: item[1]
        )
        notices = [
            AccusedRequestNotice(content, (), _to_ms(now - at_s))
            for content, (at_s, _) in answered
        ]
        latest = heapq.nlargest(
            MAX_ANNOUNCED, self.accused.items(), key=lambda item: item[1].rank()
        )
        for content, accused in latest:
            ends = accused.ends.items()
            aged = tuple((end, _to_ms(now - ended_s)) for end, ended_s in ends)
            notices.append(AccusedRequestNotice(content, aged))
        return tuple(notices)

    def apply_notice(
        self, notice: AccusedRequestNotice, source: str, now: float
    ) -> None:
        """Apply what another member, the source, announces."""
        if notice.answered_ms is not None:
            answered_s = now - notice.answered_ms / 1e3
            self._acquit(notice.content, answered_s, source, now)
        if notice.ends:
            ends = [(end, now - age_ms / 1e3) for end, age_ms in notice.ends]
            self._accuse(notice.content, ends, source, now)
            self._forget(now)

    def take_changes(self) -> list[ContentChange]:
        """Return the changes since the last call, and start anew."""
        changes, self.changes = self.changes, []
        return changes

    def _accuse(
        self,
        content: int,
        ends: Iterable[tuple[int, float]],
        source: str,
        now: float,
    ) -> None:
        answered_s = self.answered_s.get(content, -math.inf)
        counted = [
            (end, ended_s)
            for end, ended_s in ends
            if ended_s > answered_s + ANSWERED_FOR_S
        ]
        if not counted:
            # Others may not know that the content was answered.
            self.acquittals[content] = answered_s, now + ACQUITTAL_ANNOUNCE_S
            return
        accused = self.accused.setdefault(content, AccusedRequest())
        news = [accused.add_end(end, ended_s) for end, ended_s in counted]
        if any(news):
            seconds = quarantine_s(self._proven_ends(accused))
            kind = (
                ContentChangeKind.QUARANTINED if seconds else ContentChangeKind.ACCUSED
            )
            self._add_change(
                ContentChange(kind, content, len(accused.ends), source, seconds)
            )
            self._evict()

    def _acquit(self, content: int, at_s: float, source: str, now: float) -> None:
        if at_s <= self.answered_s.get(content, -math.inf):
            return
        self.answered_s[content] = at_s
        self.answered_s.move_to_end(content)
        while len(self.answered_s) > MAX_ANSWERED:
            self.answered_s.popitem(last=False)
        accused = self.accused.get(content)
        if accused is None:
            return
        ends = len(accused.ends)
        accused.discard_ends_before(at_s + ANSWERED_FOR_S)
        self.acquittals[content] = at_s, now + ACQUITTAL_ANNOUNCE_S
        if not accused.ends:
            del self.accused[content]
            kind = ContentChangeKind.ACQUITTED
            self._add_change(ContentChange(kind, content, ends, source))

    def _proven_ends(self, accused: AccusedRequest) -> int:
        """Return the ends that no content with more ends explains."""
        count = len(accused.ends)
        if count < QUARANTINE_ENDS:
            return count
        stronger = [
            other.ends for other in self.accused.values() if len(other.ends) > count
        ]
        return sum(not any(end in ends for ends in stronger) for end in accused.ends)

    def _trial_delay_s(self, content: int) -> float:
        """Return the seconds after a quarantine from which this member may try."""
        own = _score(content, self.node)
        nodes = {self.node, *self.list_nodes()}
        earlier = sum(_score(content, node) > own for node in nodes)
        return earlier * min(TRIAL_STAGGER_S, TRIAL_SPREAD_S / len(nodes))

    def _add_change(self, change: ContentChange) -> None:
        if len(self.changes) < MAX_CHANGES:
            self.changes.append(change)

    def _forget(self, now: float) -> None:
        for content, accused in list(self.accused.items()):
            if accused.remembered_until_s() <= now:
                del self.accused[content]
        for content, (_, until_s) in list(self.acquittals.items()):
            if until_s < now:
                del self.acquittals[content]

    def _evict(self) -> None:
        while len(self.accused) > MAX_ACCUSED:
            least = min(self.accused, key=lambda key: self.accused[key].rank())
            del self.accused[least]


def end_key(target: str, started_ms: int) -> int:
    """Return the key of the end of one start of a target."""
    digest = hashlib.blake2b(f"{target}\0{started_ms}".encode(), digest_size=4)
    return int.from_bytes(digest.digest(), "big")


def _score(content: int, node: str) -> bytes:
    return hashlib.blake2b(f"{content}\0{node}".encode(), digest_size=8).digest()


def _to_ms(seconds: float) -> int:
    return max(0, math.ceil(seconds * 1e3))
