"""The order of tiers over all entries: nothing is shed while a lower tier is admitted.

A member that must shed tier t asks every process in its membership view, and itself, to
close below t. Each one closes for `PROMISE_S` on its own clock, counted from receipt,
and answers with a promise. The asker counts the promise from when it sent the question,
less the drift margin, so it stops relying on a promise before the other one stops
keeping it. It may shed tier t only while all of these promises stand. Tier 0 may always
be shed: there is nothing below it.

Admission below the highest tier of a group needs admission leases from the whole view
(membership.py). A process that others have taken out of their view has lost its leases
before that, so it admits nothing that their shedding could conflict with.
"""

import itertools
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum

from burdockhaven_core.actions import SendMessage
from burdockhaven_core.configuration import MAX_TIER, Configuration
from burdockhaven_core.identity import GroupName, MemberId
from burdockhaven_core.membership import MAX_DRIFT, Membership
from burdockhaven_core.messages import CloseAsk, ClosePromise, PeerMessage

# Seconds that a promise to stay closed holds.
PROMISE_S = 2.0
# Seconds between the questions that renew a closure.
RENEW_INTERVAL_S = 0.5
# Seconds before members that have not answered are asked again.
RETRY_INTERVAL_S = 0.1
# Seconds without need after which a closure is no longer renewed.
REOPEN_AFTER_S = 2.0


class Admission(Enum):
    """What to do with a request of a tier."""

    # Queue and dispatch it.
    ADMIT = "admit"
    # Neither dispatch nor refuse it for now.
    HOLD = "hold"
    # It may be refused, evicted or left to expire.
    REFUSE = "refuse"


@dataclass(frozen=True, slots=True)
class _Need:
    """A closure that this process wants."""

    tier: int
    # The closure is renewed up to this time.
    until_s: float


@dataclass(frozen=True, slots=True)
class _Question:
    """A question that was sent and may be answered."""

    group: GroupName
    tier: int
    sent_s: float


# Closed below the tier (key) up to the monotonic time (value).
_Closure = dict[int, float]


@dataclass(slots=True)
class Floor:
    """Promises given and received by one entry process."""

    membership: Membership
    # What this process has promised, to itself or to others, by group.
    closed: dict[GroupName, _Closure] = field(default_factory=dict)
    # What others have promised to this process.
    promised: dict[tuple[GroupName, MemberId], _Closure] = field(default_factory=dict)
    needs: dict[GroupName, _Need] = field(default_factory=dict)
    # Open questions by round.
    questions: dict[int, _Question] = field(default_factory=dict)
    # When each member was last asked, by group.
    asked_s: dict[tuple[GroupName, MemberId], float] = field(default_factory=dict)
    rounds: Iterator[int] = field(default_factory=lambda: itertools.count(1))
    # The highest tier of each group.
    top_tiers: dict[GroupName, int] = field(default_factory=dict)

    @classmethod
    def from_config(cls, membership: Membership) -> "Floor":
        """A floor that is open as far as the membership permits."""
        return cls(membership)

    def on_configuration(self, configuration: Configuration) -> None:
        """Learn the highest tier of each group."""
        self.top_tiers = _top_tiers(configuration)

    def admission(self, group: GroupName, tier: int, now: float) -> Admission:
        """What to do with a request, new or queued, of a tier."""
        if tier < self.closed_below(group, now):
            may_refuse = self.may_shed(group, tier, now)
            return Admission.REFUSE if may_refuse else Admission.HOLD
        is_top = tier >= self.top_tiers.get(group, MAX_TIER)
        if is_top or self.membership.permitted(now):
            return Admission.ADMIT
        return Admission.HOLD

    def may_shed(self, group: GroupName, tier: int, now: float) -> bool:
        """Whether no entry admits anything below the tier, from now on for a while."""
        if tier <= 0:
            return True
        if not self.membership.joined(now):
            return False
        if self.closed_below(group, now) < tier:
            return False
        return all(
            _highest(self.promised.get((group, member)), now) >= tier
            for member in self.membership.view(now)
        )

    def want_shed(self, group: GroupName, tier: int, now: float) -> list[SendMessage]:
        """Close the group below the tier, here and on the other members.

        To be called whenever shedding is needed; the closure ends by itself some
        seconds after the last call, so that it does not flap.
        """
        if tier <= 0:
            return []
        need = self.needs.get(group)
        if need is not None and need.until_s > now:
            tier = max(tier, need.tier)
        self.needs[group] = _Need(tier, now + REOPEN_AFTER_S)
        return self._ask(group, now)

    def on_message(
        self, sender: MemberId, message: PeerMessage, now: float
    ) -> list[SendMessage]:
        """Answer a question, or take in the answer to one."""
        if isinstance(message, CloseAsk):
            return [self._promise(sender, message, now)]
        if isinstance(message, ClosePromise):
            self._on_promise(sender, message, now)
        return []

    def on_tick(self, now: float) -> list[SendMessage]:
        """Renew what is needed and forget what has passed."""
        self._forget(now)
        sends: list[SendMessage] = []
        for group in list(self.needs):
            sends.extend(self._ask(group, now))
        return sends

    def closed_below(self, group: GroupName, now: float) -> int:
        """The lowest tier that may be admitted here."""
        return _highest(self.closed.get(group), now)

    def _ask(self, group: GroupName, now: float) -> list[SendMessage]:
        tier = self.needs[group].tier
        due = [
            member
            for member in self.membership.view(now)
            if self._is_due(group, member, tier, now)
        ]
        self._close(group, tier, now)
        if not due:
            return []
        question = CloseAsk(
            self.membership.parameters.me.entry,
            self.membership.parameters.me.incarnation,
            group,
            tier,
            next(self.rounds),
        )
        self.questions[question.round] = _Question(group, tier, now)
        for member in due:
            self.asked_s[group, member] = now
        return [SendMessage(member, question) for member in due]

    def _is_due(
        self, group: GroupName, member: MemberId, tier: int, now: float
    ) -> bool:
        stands = _highest(self.promised.get((group, member)), now) >= tier
        interval_s = RENEW_INTERVAL_S if stands else RETRY_INTERVAL_S
        return now - self.asked_s.get((group, member), float("-inf")) >= interval_s

    def _promise(self, sender: MemberId, ask: CloseAsk, now: float) -> SendMessage:
        self._close(ask.group, ask.tier, now)
        promise = ClosePromise(
            self.membership.parameters.me.entry,
            self.membership.parameters.me.incarnation,
            ask.group,
            ask.tier,
            ask.round,
            PROMISE_S,
        )
        return SendMessage(sender, promise)

    def _on_promise(self, sender: MemberId, promise: ClosePromise, now: float) -> None:
        question = self.questions.get(promise.round)
        if question is None or question.group != promise.group:
            return
        closure = self.promised.setdefault((promise.group, sender), {})
        until_s = question.sent_s + promise.holds_s * (1.0 - MAX_DRIFT)
        closure[question.tier] = max(closure.get(question.tier, until_s), until_s)

    def _close(self, group: GroupName, tier: int, now: float) -> None:
        closure = self.closed.setdefault(group, {})
        closure[tier] = max(closure.get(tier, now), now + PROMISE_S)

    def _forget(self, now: float) -> None:
        for group, need in list(self.needs.items()):
            if need.until_s <= now:
                del self.needs[group]
        for round_number, question in list(self.questions.items()):
            if now - question.sent_s >= PROMISE_S:
                del self.questions[round_number]
        for key in [k for k, c in self.promised.items() if not _highest(c, now)]:
            del self.promised[key]
        for key, asked_s in list(self.asked_s.items()):
            if now - asked_s >= PROMISE_S:
                del self.asked_s[key]


def _highest(closure: _Closure | None, now: float) -> int:
    """The highest tier below which a closure stands; 0 if none does."""
    if closure is None:
        return 0
    return max((tier for tier, until_s in closure.items() if until_s > now), default=0)


def _top_tiers(configuration: Configuration) -> dict[GroupName, int]:
    tops: dict[GroupName, int] = {}
    for template in configuration.templates.values():
        for spec in template.classes:
            tops[spec.group] = max(tops.get(spec.group, 0), spec.tier)
    for account in configuration.accounts.values():
        for name in account.tier_by_class:
            spec_for = configuration.class_for(account, name)
            if spec_for is not None:
                group = spec_for.group
                tops[group] = max(tops.get(group, 0), spec_for.tier)
    return tops
