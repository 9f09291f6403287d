"""Logs the changes in the belief about prompt parts that may end engines."""

from burdockhaven_core.log_numbers import EventNumber
from burdockhaven_core.scheduling.accused_part import PartChangeKind
from burdockhaven_core.scheduling.crash_attribution import CrashAttribution
from burdockhaven_entry.log_events import log


def log_part_changes(crashes: CrashAttribution) -> bool:
    """Log the changes since the last call; returns whether there were any."""
    changes = crashes.take_changes()
    for change in changes:
        if change.kind is PartChangeKind.QUARANTINED:
            log(
                EventNumber.PROMPT_PART_QUARANTINED,
                part=change.part,
                ends=change.ends,
                seconds=round(change.quarantine_s, 1),
                source=change.source,
            )
            continue
        number = (
            EventNumber.PROMPT_PART_ACCUSED
            if change.kind is PartChangeKind.ACCUSED
            else EventNumber.PROMPT_PART_ACQUITTED
        )
        log(number, part=change.part, ends=change.ends, source=change.source)
    return bool(changes)
