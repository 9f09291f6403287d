"""Finds the prompt parts beneath which engines end, and keeps them from engines.

An engine that ends takes all of its runs with it, and each member sees only its own. So
every end accuses the parts of all prompts whose answer had not begun there, except the
last part of each, which no other request has. A run that goes on after its first event
acquits its parts. A part that stays accused at the ends of several engines is
quarantined, unless another part of the same prompt explains the ends better.
"""

import heapq
import itertools
import math
from collections import OrderedDict
from collections.abc import Container, Iterable

from burdockhaven_core.scheduling.accused_part import (
    FORGET_S,
    MAX_BESIDE,
    MAX_NAME,
    AccusedPart,
    Acquittal,
    PartChange,
    PartChangeKind,
    PartEvidence,
    quarantine_s,
)
from burdockhaven_core.scheduling.peer_messages import AccusedPartNotice
from burdockhaven_core.scheduling.request_queue import RequestKey

# Ends of engines that quarantine a part with which no run has begun: in general, and if
# one of them ended a trial, in which no other prompt was sent to the engine.
QUARANTINE_ENDS = 3
QUARANTINE_ENDS_WITH_TRIAL = 2
# The same if runs with the part began before, if none begins without it either, so that
# it may be the engines that fail, or if some of the ends are those of a single start.
QUARANTINE_ENDS_IN_DOUBT = 5
# Seconds after its first event for which a run has to go on to acquit its parts, unless
# it completes: an engine may have sent an event before it ends.
BEGIN_SETTLE_S = 0.3
# Ends within this many seconds count once: one lost link ends the runs at many engines.
SAME_CAUSE_S = 0.03
# Seconds after its end in which an engine does not count as returned: the runs that
# ended with it are reported one by one.
RETURN_S = 2.0
# Seconds for which a run that has begun shows that its parts and the engines are sound.
# An accused part without such a run is sent to one engine at a time.
RECENTLY_BEGUN_S = 5.0
# Seconds for which an acquittal is announced.
ACQUITTAL_ANNOUNCE_S = 10.0
# Upper bounds of the parts that are remembered, and of those in one heartbeat.
MAX_ACCUSED = 256
MAX_BEGUN = 4_096
MAX_ANNOUNCED = 16
MAX_CHANGES = 256
# Upper bound of the parts that are recorded outside the members.
MAX_RECORDED = 64


class CrashAttribution:
    """The prompt parts that are accused of ending engines, as one broker knows them."""

    def __init__(self) -> None:
        self.accused: dict[str, AccusedPart] = {}
        # When a run with each part last began, the least recent first.
        self.begun_s: OrderedDict[str, float] = OrderedDict()
        # Number of runs that have begun.
        self.begun_count = 0
        # When each run with a first event that has not settled had it, and its parts.
        self.beginning: dict[RequestKey, tuple[float, tuple[str, ...]]] = {}
        # The last acquittal of each part.
        self.acquittals: dict[str, Acquittal] = {}
        self.changes: list[PartChange] = []

    def record_end(self, engine: str, parts: Iterable[str], now: float) -> None:
        """Record that an engine ended before it went on to answer a prompt.

        `engine` identifies one start of an engine; `parts` are the prompt's parts
        without the last.
        """
        self._forget(now)
        distinct = list(dict.fromkeys(parts))
        if self.quarantined_part(distinct, now):
            # Explains the end: the run was granted before the quarantine.
            return
        counted = [part for part in distinct if self._accuse(part, engine, now)]
        for part in counted:
            self.accused[part].beside.update(p for p in counted if p != part)
        for part in self._culprits(counted):
            self._quarantine(part, engine, now)
        self._evict()

    def record_first_event(
        self, key: RequestKey, parts: tuple[str, ...], now: float
    ) -> None:
        """Record the first event of a run, which acquits its parts if it goes on."""
        self.beginning[key] = (now, parts)

    def record_completed(self, key: RequestKey, now: float) -> None:
        """Record that a run has completed, which acquits its parts."""
        began = self.beginning.pop(key, None)
        if began is not None:
            self.record_begun(began[1], now)

    def settle(self, now: float) -> None:
        """Acquit the parts of the runs that have gone on after their first event."""
        while self.beginning:
            key = next(iter(self.beginning))
            began_s, parts = self.beginning[key]
            if now - began_s < BEGIN_SETTLE_S:
                return
            del self.beginning[key]
            self.record_begun(parts, began_s)

    def record_begun(self, parts: Iterable[str], now: float) -> None:
        """Record that engines answer these parts, which acquits them."""
        self.begun_count += 1
        for part in parts:
            self.begun_s[part] = now
            self.begun_s.move_to_end(part)
            if part in self.accused:
                self._acquit(part, "", now)
        while len(self.begun_s) > MAX_BEGUN:
            self.begun_s.popitem(last=False)

    def quarantined_part(self, parts: Iterable[str], now: float) -> str:
        """Return a part that no engine may get now; empty if there is none."""
        if not self.accused:
            return ""
        for part in parts:
            accused = self.accused.get(part)
            if accused is not None and accused.quarantined_until_s > now:
                accused.is_own = True
                return part
        return ""

    def must_wait(
        self, parts: Iterable[str], in_flight: Container[RequestKey], now: float
    ) -> bool:
        """Whether a request with these parts has to wait for the run that tries one."""
        if not self.accused:
            return False
        return any(
            accused.quarantined_until_s > now
            or (accused.trial in in_flight and self._is_on_trial(part, accused))
            for part, accused in self._accused_among(parts)
        )

    def is_trial(self, parts: Iterable[str]) -> bool:
        """Whether a run with these parts shows if an accused one ends engines."""
        return any(
            self._is_on_trial(part, accused)
            for part, accused in self._accused_among(parts)
        )

    def begin_trial(self, key: RequestKey, engine: str, parts: Iterable[str]) -> None:
        """Record that a request with accused parts is sent to an engine."""
        for _, accused in self._accused_among(parts):
            accused.trial, accused.trial_engine = key, engine

    def quarantined(self, now: float) -> list[str]:
        """Return the parts in quarantine."""
        return [p for p, a in self.accused.items() if a.quarantined_until_s > now]

    def announced(self, now: float) -> tuple[AccusedPartNotice, ...]:
        """Return the evidence that other brokers need if they replace this one."""
        if not self.accused and not self.acquittals:
            return ()
        # What concerns quarantines goes first, then the latest.
        ranked: list[tuple[tuple[bool, float], bool, str]] = [
            ((acquittal.had_quarantine, acquittal.at_s + FORGET_S), False, part)
            for part, acquittal in self.acquittals.items()
            if now - acquittal.at_s <= ACQUITTAL_ANNOUNCE_S and len(part) <= MAX_NAME
        ]
        ranked.extend(
            (accused.rank(), True, part)
            for part, accused in self.accused.items()
            if accused.is_own and accused.ends and len(part) <= MAX_NAME
        )
        chosen = heapq.nlargest(MAX_ANNOUNCED, ranked)
        # An acquittal ends what was announced before; new evidence counts from there.
        chosen.sort(key=lambda item: item[1])
        return tuple(
            self._evidence_notice(part, now)
            if is_evidence
            else self._acquittal_notice(part, now)
            for _, is_evidence, part in chosen
        )

    def _acquittal_notice(self, part: str, now: float) -> AccusedPartNotice:
        age_ms = _to_ms(now - self.acquittals[part].at_s)
        return AccusedPartNotice(part, 0, age_ms, 0, 0)

    def _evidence_notice(self, part: str, now: float) -> AccusedPartNotice:
        accused = self.accused[part]
        return AccusedPartNotice(
            part,
            accused.ends,
            _to_ms(now - accused.last_end_s),
            _to_ms(accused.quarantined_until_s - now),
            accused.quarantines,
        )

    def apply_notice(self, notice: AccusedPartNotice, source: str, now: float) -> None:
        """Apply the evidence that another member's broker announces."""
        observed_s = now - notice.age_ms / 1e3
        if not notice.ends:
            accused = self.accused.get(notice.part)
            if accused is not None and accused.last_end_s < observed_s:
                self._acquit(notice.part, source, observed_s)
            return
        acquittal = self.acquittals.get(notice.part)
        if acquittal is not None and acquittal.at_s >= observed_s:
            return
        until_s = now + notice.quarantined_ms / 1e3 if notice.quarantines else 0.0
        evidence = PartEvidence(
            notice.part, notice.ends, observed_s, until_s, notice.quarantines
        )
        self._merge(evidence, source, now)

    def recordable(self, now: float) -> list[PartEvidence]:
        """Return the evidence that is to outlast the end of all members.

        Without a quarantine that is only what points at the part: runs have begun since
        the first end, or shortly before it, and none of them has the part.
        """
        self._forget(now)
        recorded = heapq.nlargest(
            MAX_RECORDED,
            filter(self._is_recordable, self.accused),
            key=lambda part: self.accused[part].rank(),
        )
        return [self._evidence_of(part, recorded) for part in recorded]

    def restore(self, evidence: PartEvidence, source: str, now: float) -> None:
        """Apply evidence that was recorded, unless the part was acquitted since.

        What is known already is not renewed: a record is read again and again.
        """
        part = evidence.part
        acquittal = self.acquittals.get(part)
        acquitted_s = -math.inf if acquittal is None else acquittal.at_s
        if max(self.begun_s.get(part, -math.inf), acquitted_s) >= evidence.last_end_s:
            return
        accused = self.accused.get(part)
        if accused is None or not accused.covers(evidence):
            accused = self._merge(evidence, source, now)
        accused.is_restored = True

    def take_changes(self) -> list[PartChange]:
        """Return the changes since the last call, and start anew."""
        changes, self.changes = self.changes, []
        return changes

    def _merge(self, evidence: PartEvidence, source: str, now: float) -> AccusedPart:
        """Add evidence that this broker has not observed itself."""
        part = evidence.part
        accused = self.accused.get(part)
        if accused is None:
            accused = AccusedPart(begun_before=self.begun_count, is_own=False)
            self.accused[part] = accused
            self._evict()
        accused.ends = max(accused.ends, evidence.ends)
        accused.last_end_s = max(accused.last_end_s, evidence.last_end_s)
        for name, ends in evidence.beside:
            accused.beside[name] = max(accused.beside[name], ends)
        if evidence.quarantines > accused.quarantines:
            accused.quarantines = evidence.quarantines
            accused.quarantined_until_s = evidence.quarantined_until_s
            left_s = max(0.0, evidence.quarantined_until_s - now)
            self._add_change(PartChangeKind.QUARANTINED, part, accused, source, left_s)
        return accused

    def _is_recordable(self, part: str) -> bool:
        accused = self.accused[part]
        if not accused.ends or len(part) > MAX_NAME:
            return False
        if accused.quarantines or accused.is_restored:
            return True
        return part not in self.begun_s and self._are_others_answered(accused)

    def _are_others_answered(self, accused: AccusedPart) -> bool:
        """Whether runs begin around the ends of a part, so that engines are sound."""
        last_begun_s = next(reversed(self.begun_s.values()), -math.inf)
        has_begun_since = self.begun_count > accused.begun_before
        return has_begun_since or (
            last_begun_s + RECENTLY_BEGUN_S >= accused.last_end_s
        )

    def _evidence_of(self, part: str, recorded: Container[str]) -> PartEvidence:
        accused = self.accused[part]
        beside = ((p, n) for p, n in accused.beside.most_common() if p in recorded)
        return PartEvidence(
            part,
            accused.ends,
            accused.last_end_s,
            accused.quarantined_until_s,
            accused.quarantines,
            tuple(itertools.islice(beside, MAX_BESIDE)),
        )

    def _accused_among(self, parts: Iterable[str]) -> list[tuple[str, AccusedPart]]:
        if not self.accused:
            return []
        return [(part, self.accused[part]) for part in parts if part in self.accused]

    def _is_on_trial(self, part: str, accused: AccusedPart) -> bool:
        """Whether only one run at a time may have the part."""
        begun_s = self.begun_s.get(part, -math.inf)
        return bool(accused.quarantines) or (
            begun_s + RECENTLY_BEGUN_S < accused.last_end_s
        )

    def _accuse(self, part: str, engine: str, now: float) -> bool:
        """Add evidence against a part; False if it counts already."""
        accused = self.accused.get(part)
        if accused is None:
            accused = AccusedPart(begun_before=self.begun_count)
            self.accused[part] = accused
        is_repeated = engine in accused.engines and not accused.quarantines
        if is_repeated and not self._has_returned(engine, accused, now):
            return False
        accused.repeated_ends += is_repeated
        accused.engines[engine] = now
        accused.has_ended_trial |= engine == accused.trial_engine
        if now - accused.last_end_s < SAME_CAUSE_S:
            return False
        accused.ends += 1
        accused.last_end_s = now
        accused.is_own = True
        self._add_change(PartChangeKind.ACCUSED, part, accused, engine)
        return True

    def _has_returned(self, engine: str, accused: AccusedPart, now: float) -> bool:
        """Whether an engine that ended has gone on in the same start.

        A single engine that ends again and again may itself be at fault, and so may the
        engines if no run has begun since.
        """
        last_begun_s = next(reversed(self.begun_s.values()), -math.inf)
        ended_s = accused.engines[engine]
        return (
            len(accused.engines) > 1
            and now - ended_s >= RETURN_S
            and last_begun_s > ended_s
        )

    def _culprits(self, parts: list[str]) -> list[str]:
        """Return the parts of a prompt to quarantine, which explain the end best.

        These are the ones whose runs last began longest ago. The first part of a prompt
        is on the most other prompts; if it ends engines, these show it. Other parts
        that are always together are told apart by a third end, or quarantined together.
        """
        proven = [part for part in parts if self._is_proven(part)]
        begun_s = [self.begun_s.get(part, -math.inf) for part in proven]
        earliest_s = min(begun_s, default=-math.inf)
        equals = [
            part
            for part, at_s in zip(proven, begun_s, strict=True)
            if at_s == earliest_s
        ]
        if len(equals) > 1 and equals[0] == parts[0]:
            del equals[0]
        if len(equals) > 1:
            equals = [p for p in equals if self.accused[p].ends >= QUARANTINE_ENDS]
        return [part for part in equals if not self._is_explained_by_other(part)]

    def _is_explained_by_other(self, part: str) -> bool:
        """Whether a part of other prompts was at the same ends and began longer ago.

        It may be missing at the last of them, whose reports come one by one.
        """
        accused = self.accused[part]
        if accused.quarantines:
            return False
        begun_s = self.begun_s.get(part, -math.inf)
        shared_ends = max(QUARANTINE_ENDS, len(accused.engines)) - 1
        return any(
            self.begun_s.get(name, -math.inf) < begun_s
            and len(accused.engines.keys() & other.engines.keys()) >= shared_ends
            for name, other in self.accused.items()
        )

    def _is_proven(self, part: str) -> bool:
        """Whether the evidence against a part suffices for a quarantine."""
        accused = self.accused[part]
        needed = QUARANTINE_ENDS
        has_begun = part in self.begun_s
        may_be_engines = self.begun_count == accused.begun_before
        if has_begun or may_be_engines or accused.repeated_ends:
            needed = QUARANTINE_ENDS_IN_DOUBT
        elif accused.has_ended_trial:
            needed = QUARANTINE_ENDS_WITH_TRIAL
        return bool(accused.quarantines) or accused.ends >= needed

    def _quarantine(self, part: str, engine: str, now: float) -> None:
        accused = self.accused[part]
        self._explain_away(accused)
        accused.quarantines += 1
        length_s = quarantine_s(accused.quarantines)
        accused.quarantined_until_s = now + length_s
        self._add_change(PartChangeKind.QUARANTINED, part, accused, engine, length_s)

    def _explain_away(self, culprit: AccusedPart) -> None:
        """Take back the ends that a culprit explains from the parts beside it."""
        for part, ends in culprit.beside.items():
            accused = self.accused.get(part)
            if accused is not None and not accused.quarantines:
                accused.ends = max(0, accused.ends - ends)
                accused.has_ended_trial = False
        culprit.beside.clear()

    def _acquit(self, part: str, source: str, now: float) -> None:
        accused = self.accused.pop(part)
        self.acquittals[part] = Acquittal(now, bool(accused.quarantines))
        if accused.is_own or accused.quarantines:
            self._add_change(PartChangeKind.ACQUITTED, part, accused, source)

    def _add_change(
        self,
        kind: PartChangeKind,
        part: str,
        accused: AccusedPart,
        source: str,
        quarantine_s: float = 0.0,
    ) -> None:
        if len(self.changes) < MAX_CHANGES:
            change = PartChange(kind, part, accused.ends, source, quarantine_s)
            self.changes.append(change)

    def _forget(self, now: float) -> None:
        for part, accused in list(self.accused.items()):
            if accused.remembered_until_s() <= now:
                del self.accused[part]
        for part, acquittal in list(self.acquittals.items()):
            if now - acquittal.at_s > ACQUITTAL_ANNOUNCE_S:
                del self.acquittals[part]

    def _evict(self) -> None:
        while len(self.accused) > MAX_ACCUSED:
            least = min(self.accused, key=lambda part: self.accused[part].rank())
            del self.accused[least]


def _to_ms(seconds: float) -> int:
    return max(0, math.ceil(seconds * 1e3))
