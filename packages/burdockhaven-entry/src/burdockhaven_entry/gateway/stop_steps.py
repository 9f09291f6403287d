"""Steps of a start or a stop whose failure must not keep the others from happening."""

from collections.abc import Awaitable, Callable

from burdockhaven_core.log_numbers import EventNumber
from burdockhaven_entry.log_events import log


def attempt(step: str, action: Callable[[], object]) -> None:
    """Call the action; log an error."""
    try:
        action()
    except Exception as error:
        log(EventNumber.INTERNAL_ERROR, step=step, error=repr(error))


async def attempt_async(step: str, action: Callable[[], Awaitable[object]]) -> None:
    """Call the action and await its result; log an error."""
    try:
        await action()
    except Exception as error:
        log(EventNumber.INTERNAL_ERROR, step=step, error=repr(error))
