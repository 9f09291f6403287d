"""One log line for each request, from which its fate can be explained."""

from aiohttp import web

from burdockhaven_core.log_numbers import EventNumber
from burdockhaven_entry.gateway.call import Call
from burdockhaven_entry.log_events import log

# Stands for a status where the client left before its answer was whole.
CLIENT_LEFT = 0
MS_PER_S = 1_000.0


def log_answered(call: Call, status: int, now: float) -> None:
    """A request that was routed has got its answer, or its client has left."""
    trace = call.trace
    first_s = trace.first_event_s
    log(
        EventNumber.REQUEST_ANSWERED,
        request=call.said.attempt_id,
        route=call.route.name,
        account="" if call.account is None else call.account.name,
        service=call.service,
        priority=f"{call.priority}.{call.route.priority}",
        version=call.version,
        status=status,
        target=trace.target,
        sends=trace.sends,
        prompt_tokens=call.said.prompt_tokens or 0,
        output_tokens=call.said.max_output_tokens or 0,
        queued_ms=round(trace.queued_s * MS_PER_S),
        first_event_ms=-1 if first_s is None else round(first_s * MS_PER_S),
        events=trace.events,
        longest_pause_ms=round(trace.longest_pause_s * MS_PER_S),
        total_ms=round((now - call.arrived_s) * MS_PER_S),
        failures="; ".join(trace.failures),
    )


def log_refused(request: web.BaseRequest, attempt_id: str, status: int) -> None:
    """A request was refused before it was routed to a service."""
    log(
        EventNumber.REQUEST_TURNED_AWAY,
        request=attempt_id,
        host=request.host,
        path=request.path,
        status=status,
    )
