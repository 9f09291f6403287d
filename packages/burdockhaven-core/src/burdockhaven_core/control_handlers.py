"""Event handlers of the control plane: timer, members, configuration, shutdown."""

from collections import Counter

from result import Err

from burdockhaven_core.actions import CancelRun, SendMessage, SendToAddress, Stopped
from burdockhaven_core.entry_state import EntryState
from burdockhaven_core.events import (
    ConfigurationRead,
    MemberLeasesRead,
    MessageArrived,
    StopRequested,
    Tick,
    VmListRead,
)
from burdockhaven_core.identity import GroupName, RunId
from burdockhaven_core.log_numbers import EventNumber
from burdockhaven_core.messages import (
    ClosePromise,
    CloseRequest,
    ConfigurationOffer,
    ConfigurationRequest,
    GroupDemand,
    Heartbeat,
    ShareGrant,
)
from burdockhaven_core.outcome import NotRun, NotRunReason, Unknown, UnknownReason
from burdockhaven_core.run_handlers import finish_unknown
from burdockhaven_core.run_registry import RunState
from burdockhaven_core.shedding import apply_pending_refusals, refuse, shed_overdue
from burdockhaven_core.wait_prediction import update_ewma


def on_tick(state: EntryState, event: Tick, now: float) -> None:
    """Run the periodic work: expiry, shedding, heartbeats, slot shares, drain."""
    state.run_registry.expire_records(now)
    shed_overdue(state, now)
    apply_pending_refusals(state, now)
    _expire_abandoned_runs(state, now)
    state.actions.extend(state.tier_admission.on_tick(now))
    if now >= state.next_heartbeat_s:
        _send_heartbeats(state, now)
    _update_shares(state, now)
    _finish_drain(state, now)


def on_message(state: EntryState, event: MessageArrived, now: float) -> None:
    """Dispatch a message of another member to the component that handles it."""
    message = event.message
    match message:
        case Heartbeat():
            state.membership.on_heartbeat(message, now)
            state.shares.on_heartbeat(message, now)
            if message.config_version == state.configuration.version:
                state.targets.merge_peer_measurements(message.demand)
            state.actions.extend(state.replica.on_heartbeat(message, now))
        case ShareGrant():
            state.shares.on_grant(message, now)
        case CloseRequest() | ClosePromise():
            state.actions.extend(
                state.tier_admission.on_message(event.sender, message, now)
            )
            apply_pending_refusals(state, now)
        case ConfigurationRequest():
            state.actions.extend(state.replica.on_request(event.sender, message))
        case ConfigurationOffer():
            _on_offer(state, message)


def on_member_leases(state: EntryState, event: MemberLeasesRead, now: float) -> None:
    """Apply the list of members that hold a lease."""
    state.membership.on_leases(event.members, event.own_lease_until_s, now)


def on_vm_list(state: EntryState, event: VmListRead, now: float) -> None:
    """Apply the platform's VM list; targets on leaving VMs get no new requests."""
    state.membership.on_vm_list(event.live, event.leaving, now)


def on_configuration(state: EntryState, event: ConfigurationRead, now: float) -> None:
    """Put a newer configuration in force; never revert to an older one."""
    version = event.configuration.version
    if state.replica.apply_if_newer(event.configuration):
        _apply_configuration(state, source="key-value service")
    elif version < state.replica.version:
        state.log_event(
            EventNumber.CONFIGURATION_OLDER_IGNORED,
            version=version,
            in_force=state.replica.version,
        )


def _on_offer(state: EntryState, offer: ConfigurationOffer) -> None:
    applied = state.replica.on_offer(offer)
    if isinstance(applied, Err):
        fault = applied.err_value
        detail = f"{fault.path}: {fault.seen}, allowed: {fault.allowed}"
        state.log_event(EventNumber.BAD_PEER_MESSAGE, peer=offer.entry, detail=detail)
    elif applied.ok_value:
        _apply_configuration(state, source=offer.entry)


def _apply_configuration(state: EntryState, source: str) -> None:
    configuration = state.configuration
    state.account_by_key_digest = {
        parameters.key_sha256: name
        for name, parameters in configuration.accounts.items()
    }
    state.targets.apply(configuration)
    state.membership.on_configuration(configuration)
    state.tier_admission.on_configuration(configuration)
    state.log_event(
        EventNumber.CONFIGURATION_IN_FORCE,
        version=configuration.version,
        source=source,
    )


def on_stop_requested(state: EntryState, event: StopRequested, now: float) -> None:
    """Start draining; callers are served until their assignments have expired."""
    if state.drain_until_s is not None:
        return
    parameters = state.parameters
    state.log_event(EventNumber.STOP_REQUESTED)
    state.drain_until_s = (
        now + parameters.assignment_lifetime_s + parameters.heartbeat_interval_s
    )
    _send_heartbeats(state, now)


def _send_heartbeats(state: EntryState, now: float, resigned: bool = False) -> None:
    state.next_heartbeat_s = now + state.parameters.heartbeat_interval_s
    heartbeat = state.membership.heartbeat(
        now,
        ready=state.ready,
        draining=state.draining,
        config_version=state.configuration.version,
        demand=_group_demands(state, now),
        resigned=resigned,
    )
    for member in state.membership.known_members():
        message = state.membership.heartbeat_for(member, heartbeat)
        state.actions.append(SendMessage(member, message))
    for address in state.membership.unidentified_addresses():
        state.actions.append(SendToAddress(address, heartbeat))


def _update_shares(state: EntryState, now: float) -> None:
    if now >= state.shares.next_grant_s:
        members = [view.member for view in state.membership.live(now)]
        state.actions.extend(
            state.shares.on_tick(members, _group_demands(state, now), now)
        )
    state.shares.apply_limits(now)


def _group_demands(state: EntryState, now: float) -> tuple[GroupDemand, ...]:
    tier_counts: dict[GroupName, Counter[int]] = {}
    for run_id, request in state.dispatched.items():
        group = state.group_by_run[run_id]
        tier_counts.setdefault(group, Counter())[request.tier] += 1
    demand = []
    for group in state.targets.groups:
        queue = state.queue(group)
        by_tier = tier_counts.get(group, Counter())
        tiers = 1 + max([*queue.tiers(), *by_tier], default=0)
        in_flight_by_target = {
            target.spec.name: target.in_flight
            for target in state.targets.of_group(group)
            if target.in_flight
        }
        queued_by_tier = queue.queued_by_tier(tiers)
        in_flight_by_tier = tuple(by_tier[tier] for tier in range(tiers))
        previous = state.average_in_flight.get(group, ())
        state.average_in_flight[group] = update_ewma(previous, in_flight_by_tier)
        intervals = tuple(
            target.recent_interval_us(now) for target in state.targets.of_group(group)
        )
        demand.append(
            GroupDemand(
                group, queued_by_tier, in_flight_by_target, in_flight_by_tier, intervals
            )
        )
    return tuple(demand)


def _expire_abandoned_runs(state: EntryState, now: float) -> None:
    for run_id, until_s in list(state.resume_deadlines_s.items()):
        if until_s <= now:
            del state.resume_deadlines_s[run_id]
            _cancel_abandoned_run(state, run_id, now)


def _cancel_abandoned_run(state: EntryState, run_id: RunId, now: float) -> None:
    record = state.run_registry.records[run_id]
    if record.state is RunState.QUEUED:
        refusal = NotRun(NotRunReason.CANCELLED, "the caller disconnected")
        refuse(state, run_id, refusal, now)
        return
    # A non-idempotent run is not cancelled: it may already have had partial effects.
    if record.target is None or not record.spec.idempotent:
        return
    state.actions.append(CancelRun(run_id, record.target))
    outcome = Unknown(UnknownReason.CANCELLED, "the caller disconnected")
    finish_unknown(state, record, outcome, now)


def _finish_drain(state: EntryState, now: float) -> None:
    if state.stopped or state.drain_until_s is None or now < state.drain_until_s:
        return
    if state.run_registry.unfinished:
        return
    state.stopped = True
    _send_heartbeats(state, now, resigned=True)
    state.actions.append(Stopped())
