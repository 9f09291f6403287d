"""Keeps a stream at the software version that began it, within and across attempts."""

import dataclasses

from aiohttp import web

from burdockhaven_core.scheduling.peer_messages import StreamOrigin
from burdockhaven_core.scheduling.target_registry import TargetEntry
from burdockhaven_entry.gateway.placement_client import (
    Placement,
    PlacementRefused,
    PlacementRequirements,
)
from burdockhaven_entry.gateway.responses import UNAVAILABLE, not_run_response
from burdockhaven_entry.gateway.routed_request import RoutedRequest
from burdockhaven_entry.gateway.stream_state import StreamState

# Fraction of a route's objective that is left for the first event of a run when a
# resumed stream waits for its software version.
FIRST_EVENT_FRACTION = 0.5


def is_resumed(routed: RoutedRequest) -> bool:
    """Whether the client has events of the stream from an earlier attempt."""
    client_request = routed.client_request
    return routed.route.resumable and (
        client_request.last_event_id is not None
        or client_request.resumed_attempt_id is not None
    )


def latest_begin_s(stream: StreamState) -> float:
    """Return when the next run has to begin so that the client still waits for it."""
    first_event_s = FIRST_EVENT_FRACTION * stream.routed.route.objective_s
    return stream.give_up_s - first_event_s


def continue_at(
    requirements: PlacementRequirements, origin: StreamOrigin
) -> PlacementRequirements:
    """Return the requirements for the next run of a stream that has this origin."""
    return dataclasses.replace(
        requirements,
        service=origin.service,
        software_version=origin.software_version,
    )


def resume_at(
    requirements: PlacementRequirements, origin: StreamOrigin
) -> PlacementRequirements:
    """Return the requirements of a stream that its client resumes.

    It goes ahead of equal new streams, which can use the engines of every version.
    """
    return dataclasses.replace(
        continue_at(requirements, origin), is_retry=True, is_resumption=True
    )


def has_granted_version(
    entry: TargetEntry | None, placement: Placement, requirements: PlacementRequirements
) -> bool:
    """Whether a granted target has the software version that the request needs.

    The broker and this member may know different starts of the target; then neither
    version is certain.
    """
    known = {placement.software_version}
    if entry is not None:
        known.add(entry.software_version)
    known.discard("")
    needed = requirements.software_version
    return len(known) <= 1 if not needed else known == {needed}


def refusal_reason(refused: PlacementRefused) -> str:
    """Return why a placement was refused, for the log."""
    if refused.over_quota:
        return "quota exceeded"
    if refused.quarantined_part:
        return f"quarantined part {refused.quarantined_part}"
    if refused.is_too_large:
        return "too large for any engine"
    return "software version gone" if refused.is_version_gone else "overloaded"


def refusal_detail(refused: PlacementRefused) -> str:
    """Return the explanation of a refused placement for the client."""
    if refused.over_quota:
        return "account quota exceeded"
    if refused.quarantined_part:
        return (
            f"the request is not run: engines end beneath part "
            f"{refused.quarantined_part} of its prompt"
        )
    if refused.is_too_large:
        return "the request is not run: it needs more memory than any engine has"
    if refused.is_version_gone:
        return "no engine of the software version that began the stream"
    return "no engine available within the deadline"


def unknown_origin_response(
    routed: RoutedRequest, retry_after_s: float
) -> web.Response:
    """Return the refusal to resume a stream whose software version is unknown."""
    return not_run_response(
        UNAVAILABLE,
        "the software version that began the stream is unknown",
        routed.client_request.attempt_id,
        retry_after_s,
    )
