"""Distributed admission control: no tier is shed while an entry admits a lower tier.

Closures are time-limited promises, like leases. A member that must shed tier t sends
a close request to every process in its membership view and closes the group below t
itself. Each receiver closes the group below t for `PROMISE_DURATION_S`, measured on its
own clock from receipt, and replies with a promise. The requester counts the promise
from when it sent the request, less the clock drift, so its reliance on a promise ends
before the promise itself. It may shed tier t only while it holds valid promises from
all members in its view. Tier 0 may always be shed because there is no lower tier.

Admission below the highest tier of a group requires admission leases from all members
in the view (see membership.py). A process loses these leases before other members can
exclude it from their views, so it admits nothing that conflicts with their shedding.
"""

import itertools
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum

from burdockhaven_core.actions import SendMessage
from burdockhaven_core.configuration import MAX_TIER, Configuration
from burdockhaven_core.identity import GroupName, MemberId
from burdockhaven_core.membership import MAX_CLOCK_DRIFT, Membership
from burdockhaven_core.messages import ClosePromise, CloseRequest, PeerMessage

# How long a promise to stay closed is valid.
PROMISE_DURATION_S = 2.0
# Time between two close requests that renew a valid promise.
RENEWAL_INTERVAL_S = 0.5
# Time before a close request that was not answered is sent again.
RETRY_INTERVAL_S = 0.1
# Time after the last need to shed for which a closure is still renewed.
REOPEN_DELAY_S = 2.0


class AdmissionDecision(Enum):
    """How a request of a tier is treated."""

    # It is queued and dispatched.
    ADMIT = "admit"
    # It is neither dispatched nor refused for the present.
    HOLD = "hold"
    # It may be refused, evicted from the queue or left to expire.
    REFUSE = "refuse"


@dataclass(frozen=True, slots=True)
class _WantedClosure:
    """A closure that this process renews because it needs to shed."""

    tier: int
    # The closure is renewed until this time.
    until_s: float


@dataclass(frozen=True, slots=True)
class _PendingRequest:
    """A close request that was sent and may still be answered."""

    group: GroupName
    tier: int
    sent_s: float


# Maps a tier to the monotonic time until which the group is closed below this tier.
_Closure = dict[int, float]


@dataclass(slots=True)
class TierAdmission:
    """Closures promised by one entry process and promised to it."""

    membership: Membership
    # Closures at this process, requested by itself or by others, by group.
    closures: dict[GroupName, _Closure] = field(default_factory=dict)
    # Closures that other members have promised to this process.
    promises: dict[tuple[GroupName, MemberId], _Closure] = field(default_factory=dict)
    wanted_closures: dict[GroupName, _WantedClosure] = field(default_factory=dict)
    # Close requests awaiting promises, by request number.
    pending_requests: dict[int, _PendingRequest] = field(default_factory=dict)
    # When the last close request was sent, by group and member.
    requested_s: dict[tuple[GroupName, MemberId], float] = field(default_factory=dict)
    request_numbers: Iterator[int] = field(default_factory=lambda: itertools.count(1))
    # The highest tier of each group.
    top_tiers: dict[GroupName, int] = field(default_factory=dict)

    @classmethod
    def from_config(cls, membership: Membership) -> "TierAdmission":
        """Create tier admission without closures."""
        return cls(membership)

    def on_configuration(self, configuration: Configuration) -> None:
        """Update the highest tier of each group."""
        self.top_tiers = _top_tiers(configuration)

    def admission(self, group: GroupName, tier: int, now: float) -> AdmissionDecision:
        """Decide how a new or queued request of the tier is treated."""
        if tier < self.lowest_admitted_tier(group, now):
            can_refuse = self.can_shed(group, tier, now)
            return AdmissionDecision.REFUSE if can_refuse else AdmissionDecision.HOLD
        is_top = tier >= self.top_tiers.get(group, MAX_TIER)
        if is_top or self.membership.can_admit_lower_tiers(now):
            return AdmissionDecision.ADMIT
        return AdmissionDecision.HOLD

    def can_shed(self, group: GroupName, tier: int, now: float) -> bool:
        """Whether this process and its view have closed the group below the tier."""
        if tier <= 0:
            return True
        if not self.membership.has_joined(now):
            return False
        if self.lowest_admitted_tier(group, now) < tier:
            return False
        return all(
            _highest_closed_tier(self.promises.get((group, member)), now) >= tier
            for member in self.membership.view(now)
        )

    def request_shedding(
        self, group: GroupName, tier: int, now: float
    ) -> list[SendMessage]:
        """Close the group below the tier at this process and the other members.

        Call this whenever shedding is needed. The closure is renewed for
        `REOPEN_DELAY_S` after the last call, so that the group does not flap between
        open and closed.
        """
        if tier <= 0:
            return []
        wanted = self.wanted_closures.get(group)
        if wanted is not None and wanted.until_s > now:
            tier = max(tier, wanted.tier)
        self.wanted_closures[group] = _WantedClosure(tier, now + REOPEN_DELAY_S)
        return self._send_close_requests(group, now)

    def on_message(
        self, sender: MemberId, message: PeerMessage, now: float
    ) -> list[SendMessage]:
        """Reply to a close request, or record a promise."""
        if isinstance(message, CloseRequest):
            return [self._make_promise(sender, message, now)]
        if isinstance(message, ClosePromise):
            self._on_promise(sender, message, now)
        return []

    def on_tick(self, now: float) -> list[SendMessage]:
        """Renew the wanted closures and remove expired state."""
        self._expire(now)
        sends: list[SendMessage] = []
        for group in list(self.wanted_closures):
            sends.extend(self._send_close_requests(group, now))
        return sends

    def lowest_admitted_tier(self, group: GroupName, now: float) -> int:
        """Return the lowest tier that is not closed at this process."""
        return _highest_closed_tier(self.closures.get(group), now)

    def _send_close_requests(self, group: GroupName, now: float) -> list[SendMessage]:
        tier = self.wanted_closures[group].tier
        due = [
            member
            for member in self.membership.view(now)
            if self._is_request_due(group, member, tier, now)
        ]
        self._close(group, tier, now)
        if not due:
            return []
        request = CloseRequest(
            self.membership.parameters.member_id.entry,
            self.membership.parameters.member_id.incarnation,
            group,
            tier,
            next(self.request_numbers),
        )
        self.pending_requests[request.request_number] = _PendingRequest(
            group, tier, now
        )
        for member in due:
            self.requested_s[group, member] = now
        return [SendMessage(member, request) for member in due]

    def _is_request_due(
        self, group: GroupName, member: MemberId, tier: int, now: float
    ) -> bool:
        has_promise = (
            _highest_closed_tier(self.promises.get((group, member)), now) >= tier
        )
        interval_s = RENEWAL_INTERVAL_S if has_promise else RETRY_INTERVAL_S
        return now - self.requested_s.get((group, member), float("-inf")) >= interval_s

    def _make_promise(
        self, sender: MemberId, request: CloseRequest, now: float
    ) -> SendMessage:
        self._close(request.group, request.tier, now)
        promise = ClosePromise(
            self.membership.parameters.member_id.entry,
            self.membership.parameters.member_id.incarnation,
            request.group,
            request.tier,
            request.request_number,
            PROMISE_DURATION_S,
        )
        return SendMessage(sender, promise)

    def _on_promise(self, sender: MemberId, promise: ClosePromise, now: float) -> None:
        request = self.pending_requests.get(promise.request_number)
        if request is None or request.group != promise.group:
            return
        closure = self.promises.setdefault((promise.group, sender), {})
        until_s = request.sent_s + promise.duration_s * (1.0 - MAX_CLOCK_DRIFT)
        closure[request.tier] = max(closure.get(request.tier, until_s), until_s)

    def _close(self, group: GroupName, tier: int, now: float) -> None:
        closure = self.closures.setdefault(group, {})
        closure[tier] = max(closure.get(tier, now), now + PROMISE_DURATION_S)

    def _expire(self, now: float) -> None:
        for group, wanted in list(self.wanted_closures.items()):
            if wanted.until_s <= now:
                del self.wanted_closures[group]
        for request_number, request in list(self.pending_requests.items()):
            if now - request.sent_s >= PROMISE_DURATION_S:
                del self.pending_requests[request_number]
        for key in [
            k for k, c in self.promises.items() if not _highest_closed_tier(c, now)
        ]:
            del self.promises[key]
        for key, requested_s in list(self.requested_s.items()):
            if now - requested_s >= PROMISE_DURATION_S:
                del self.requested_s[key]


def _highest_closed_tier(closure: _Closure | None, now: float) -> int:
    """Return the highest tier below which the group is closed, 0 if it is open."""
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
