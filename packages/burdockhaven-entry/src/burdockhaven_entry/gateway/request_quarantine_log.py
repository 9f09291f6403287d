"""Logs the changes in the belief about request contents that may end targets."""

from burdockhaven_core.log_numbers import EventNumber
from burdockhaven_core.request_quarantine import (
    ContentChangeKind,
    RequestQuarantine,
    format_content,
)
from burdockhaven_entry.log_events import log


def log_content_changes(quarantine: RequestQuarantine) -> bool:
    """Log the changes since the last call; returns whether there were any."""
    changes = quarantine.take_changes()
    for change in changes:
        content = format_content(change.content)
        if change.kind is ContentChangeKind.QUARANTINED:
            log(
                EventNumber.REQUEST_QUARANTINED,
                content=content,
                ends=change.ends,
                seconds=round(change.quarantine_s, 1),
                source=change.source,
            )
            continue
        number = (
            EventNumber.REQUEST_ACCUSED
            if change.kind is ContentChangeKind.ACCUSED
            else EventNumber.REQUEST_ACQUITTED
        )
        log(number, content=content, ends=change.ends, source=change.source)
    return bool(changes)
