"""Fourth filter: deadline feasibility and latest start of a request."""

from collections.abc import Sequence
from dataclasses import dataclass

from result import Err, Ok, Result

from burdockhaven_core.events import RequestArrived
from burdockhaven_core.filters.authorise import Authorised
from burdockhaven_core.identity import RunId
from burdockhaven_core.length_prediction import LengthEstimate
from burdockhaven_core.outcome import NotRun, NotRunReason
from burdockhaven_core.queueing import QueuedRequest
from burdockhaven_core.targets import TargetState

MS_PER_S = 1_000.0
# Largest share of a request's slack that is reserved for a long answer.
MAX_RESERVE_FRACTION = 0.5
# Keeps a divisor above zero.
EPSILON_S = 1e-9


@dataclass(frozen=True, slots=True)
class Planned:
    """A request that can be queued."""

    request: QueuedRequest


def plan(
    arrival: RequestArrived,
    run_id: RunId,
    authorised: Authorised,
    targets: Sequence[TargetState],
    length: LengthEstimate,
    now: float,
) -> Result[Planned, NotRun]:
    """Compute deadline and latest start of a request, or refuse it.

    `targets` are the targets of the group that are not leaving; `length` is the
    predicted length of the answer. The latest start leaves time for a long answer as
    far as the slack permits.
    """
    spec = authorised.spec
    allowed = authorised.account.targets
    usable = [t for t in targets if allowed is None or t.spec.name in allowed]
    if not usable:
        detail = f"no target of group {spec.group!r} accepts requests of this account"
        return Err(NotRun(NotRunReason.NO_TARGET, detail, retry_after_s=5.0))
    deadline_ms = min(arrival.deadline_ms or spec.deadline_ms, spec.deadline_ms)
    prompt_tokens = arrival.prompt_tokens
    service_s = min(t.service_s(prompt_tokens, length.mean) for t in usable)
    deadline_s = now + deadline_ms / MS_PER_S
    if now + service_s > deadline_s:
        detail = (
            f"the request needs about {service_s:.1f} s on an idle target, "
            f"its deadline is {deadline_ms / MS_PER_S:.1f} s"
        )
        return Err(NotRun(NotRunReason.INFEASIBLE, detail))
    longest_s = min(t.service_s(prompt_tokens, length.high) for t in usable)
    max_reserve_s = (deadline_s - service_s - now) * MAX_RESERVE_FRACTION
    reserve_fraction = min(
        1.0, max_reserve_s / max(max_reserve_s, longest_s - service_s, EPSILON_S)
    )
    long_tokens = length.mean + reserve_fraction * (length.high - length.mean)
    latest_start_s = deadline_s - service_s - reserve_fraction * (longest_s - service_s)
    return Ok(
        Planned(
            QueuedRequest(
                run_id=run_id,
                account=arrival.account,
                tier=spec.tier,
                weight=authorised.account.weight,
                prompt_tokens=arrival.prompt_tokens,
                output_tokens=max(1, round(length.mean)),
                prefix=arrival.prefix,
                arrived_s=now,
                deadline_s=deadline_s,
                latest_start_s=latest_start_s,
                targets=None if allowed is None else frozenset(allowed),
                fresh_connection=not spec.idempotent,
                service_s=service_s,
                high_output_tokens=max(1, round(long_tokens)),
            )
        )
    )
