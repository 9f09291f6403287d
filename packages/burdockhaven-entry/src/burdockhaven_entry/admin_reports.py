"""Builds the reports of the administration API from the state of the entry."""

from collections.abc import Callable

from burdockhaven_core.admin_messages import (
    ConfigurationReply,
    FloorReport,
    FloorsReply,
    InForceReply,
    MemberReport,
    MembersReply,
    QueueReport,
    QueuesReply,
    TargetReport,
    TargetsReply,
)
from burdockhaven_core.configuration import MAX_TIER
from burdockhaven_core.configuration_replica import count_in_force
from burdockhaven_core.entry_state import EntryState
from burdockhaven_core.identity import GroupName, MemberId
from burdockhaven_core.member_record import MemberView
from burdockhaven_core.targets import TargetState
from burdockhaven_entry.admin_api import AdminView

MS_PER_S = 1_000.0


def admin_view(state: EntryState, clock: Callable[[], float]) -> AdminView:
    """Create the report functions of the administration API."""
    return AdminView(
        configuration=lambda: state.configuration,
        report_configuration=lambda: report_configuration(state, clock()),
        in_force=lambda version: report_in_force(state, version, clock()),
        members=lambda: report_members(state, clock()),
        targets=lambda: report_targets(state, clock()),
        floors=lambda: report_floors(state, clock()),
        queues=lambda: report_queues(state, clock()),
    )


def highest_known_version(state: EntryState, now: float) -> int | None:
    """Return the highest configuration version in force at any member.

    Returns None unless this entry has a configuration and every member that may still
    act is live, because a silent member could have a newer version than all the others.
    """
    membership = state.membership
    if not (state.replica.ready and membership.has_joined(now)):
        return None
    live = {view.member: view for view in membership.live(now)}
    if any(member not in live for member in membership.view(now)):
        return None
    versions = (view.config_version for view in live.values())
    return max(state.replica.version, *versions, 0)


def is_first_member(state: EntryState, now: float) -> bool:
    """Whether this member has the lowest name of all live members not draining."""
    if state.draining:
        return False
    others = [view for view in state.membership.live(now) if not view.draining]
    return all(state.parameters.member_id.entry < view.member.entry for view in others)


def report_in_force(state: EntryState, version: int, now: float) -> InForceReply:
    """Report how many of the live entries have the version in force."""
    versions = [view.config_version for view in state.membership.live(now)]
    rollout = count_in_force(version, (*versions, state.replica.version))
    return InForceReply(rollout.version, rollout.members_in_force, rollout.live_members)


def report_configuration(state: EntryState, now: float) -> ConfigurationReply:
    """Report the configuration in force here, and on how many entries it is."""
    configuration = state.configuration
    return ConfigurationReply(
        in_force=report_in_force(state, configuration.version, now),
        templates=configuration.templates,
        accounts=configuration.accounts,
    )


def report_members(state: EntryState, now: float) -> MembersReply:
    """Report this entry and all other known entries."""
    live = {view.member: view for view in state.membership.live(now)}
    others = [
        _member_report(state, member, live.get(member))
        for member in state.membership.known_members()
    ]
    reports = sorted([_own_report(state), *others], key=lambda report: report.entry)
    return MembersReply(tuple(reports))


def report_targets(state: EntryState, now: float) -> TargetsReply:
    """Report all targets as this entry sees them."""
    leaving = state.membership.leaving_targets(now)
    reports = []
    for group in state.targets.groups:
        for target in state.targets.of_group(group):
            if target.spec.name in leaving:
                target_state = "leaving"
            else:
                target_state = "paused" if target.paused_until_s > now else "open"
            reports.append(_target_report(group, target, target_state))
    return TargetsReply(tuple(reports))


def report_floors(state: EntryState, now: float) -> FloorsReply:
    """Report the lowest tier that each group admits at this entry."""
    return FloorsReply(
        tuple(
            FloorReport(group, state.tier_admission.lowest_admitted_tier(group, now))
            for group in state.targets.groups
        )
    )


def report_queues(state: EntryState, now: float) -> QueuesReply:
    """Report the number of requests queued at this entry, by group and tier."""
    return QueuesReply(
        tuple(
            QueueReport(group, state.queue(group).queued_by_tier(MAX_TIER + 1))
            for group in state.targets.groups
        )
    )


def _own_report(state: EntryState) -> MemberReport:
    parameters = state.parameters
    return MemberReport(
        entry=parameters.member_id.entry,
        incarnation=parameters.member_id.incarnation,
        zone=parameters.zone,
        caller_address=parameters.caller_address,
        peer_address=parameters.peer_address,
        state=_member_state(state.ready, state.draining),
        config_version=state.replica.version,
        load=state.queued_count() + len(state.dispatched),
    )


def _member_state(ready: bool, draining: bool) -> str:
    if draining:
        return "draining"
    return "ready" if ready else "starting"


def _member_report(
    state: EntryState, member: MemberId, view: MemberView | None
) -> MemberReport:
    if view is None:
        address = state.membership.records[member].peer_address
        return MemberReport(
            member.entry, member.incarnation, "", "", address, "silent", 0, 0
        )
    return MemberReport(
        entry=member.entry,
        incarnation=member.incarnation,
        zone=view.zone,
        caller_address=view.caller_address,
        peer_address=view.peer_address,
        state=_member_state(view.ready, view.draining),
        config_version=view.config_version,
        load=view.load,
    )


def _target_report(
    group: GroupName, target: TargetState, target_state: str
) -> TargetReport:
    report = target.report
    return TargetReport(
        target=target.spec.name,
        group=group,
        zone=target.spec.zone,
        address=target.spec.address,
        state=target_state,
        in_flight=target.in_flight,
        running=None if report is None else report.running,
        waiting=None if report is None else report.waiting,
        token_interval_ms=round(target.token_interval_s * MS_PER_S, 3),
    )
