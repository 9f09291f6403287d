"""Third filter: checks the request against the size limits of its class."""

from result import Err, Ok, Result

from burdockhaven_core.configuration import ClassSpec
from burdockhaven_core.events import RequestArrived
from burdockhaven_core.outcome import NotRun, NotRunReason


def check_limits(
    request: RequestArrived, spec: ClassSpec
) -> Result[RequestArrived, NotRun]:
    """Return the request unchanged, or a refusal that names the exceeded limit."""
    if request.prompt_tokens > spec.max_prompt_tokens:
        detail = (
            f"the prompt has {request.prompt_tokens} tokens, "
            f"class {spec.name!r} allows {spec.max_prompt_tokens}"
        )
        return Err(NotRun(NotRunReason.TOO_LARGE, detail))
    if request.max_output_tokens > spec.max_output_tokens:
        detail = (
            f"{request.max_output_tokens} output tokens are requested, "
            f"class {spec.name!r} allows {spec.max_output_tokens}"
        )
        return Err(NotRun(NotRunReason.TOO_LARGE, detail))
    if request.deadline_ms is not None and request.deadline_ms <= 0:
        detail = f"the deadline must be above 0 ms, not {request.deadline_ms}"
        return Err(NotRun(NotRunReason.BAD_REQUEST, detail))
    return Ok(request)
