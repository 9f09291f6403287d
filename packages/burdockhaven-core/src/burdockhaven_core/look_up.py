"""Event handler for look-ups: assigns callers to entries."""

from burdockhaven_core.actions import AnswerLookUp
from burdockhaven_core.assignment import Assignment, sign_assignment
from burdockhaven_core.entry_state import EntryState, unavailable_refusal
from burdockhaven_core.events import LookUpArrived
from burdockhaven_core.identity import MemberId
from burdockhaven_core.outcome import NotRun, NotRunReason

# Size of the random nonce that makes each assignment unique.
NONCE_BITS = 128


def on_look_up(state: EntryState, event: LookUpArrived, now: float) -> None:
    """Assign the caller to a lightly loaded live entry, or to this entry."""
    if event.account not in state.configuration.accounts:
        detail = f"no client account {event.account!r} is in force"
        state.answer(event.handle, NotRun(NotRunReason.UNKNOWN_ACCOUNT, detail))
        return
    member_id = state.parameters.member_id
    view = state.membership.pick_entry(now, state.rng)
    clock_s = (
        None if view is None else state.membership.clock_lower_bound_s(view.member, now)
    )
    if view is not None and view.member != member_id and clock_s is not None:
        _assign(state, event, view.member, view.caller_address, clock_s)
    elif state.ready and not state.draining:
        clock_s = state.clock_s(now)
        _assign(state, event, member_id, state.parameters.caller_address, clock_s)
    else:
        state.answer(event.handle, unavailable_refusal("no entry accepts requests"))


def _assign(
    state: EntryState,
    event: LookUpArrived,
    member: MemberId,
    address: str,
    clock_s: float,
) -> None:
    lifetime_s = state.parameters.assignment_lifetime_s
    assignment = Assignment(
        entry=member.entry,
        incarnation=member.incarnation,
        account=event.account,
        nonce=f"{state.rng.getrandbits(NONCE_BITS):032x}",
        issued_s=clock_s,
        expires_s=clock_s + lifetime_s,
    )
    token = sign_assignment(assignment, state.parameters.assignment_key)
    state.actions.append(
        AnswerLookUp(event.handle, member.entry, address, token, lifetime_s)
    )
