"""Decisions of the burdockhaven request scheduler.

Nothing in this package opens a socket, reads a clock or draws a random number of its
own: the time and a seeded generator are arguments. `Entry.step` takes the events of
`burdockhaven_core.events` and returns the actions of `burdockhaven_core.actions`.
"""

from burdockhaven_core.configuration import (
    AccountParameters,
    ClassSpec,
    Configuration,
    GroupKind,
    GroupSpec,
    TargetSpec,
    Template,
)
from burdockhaven_core.entry import Entry
from burdockhaven_core.entry_state import EntryParameters
from burdockhaven_core.identity import MemberId, RequestId
from burdockhaven_core.outcome import Elsewhere, NotRun, Outcome, Unknown

__all__ = [
    "AccountParameters",
    "ClassSpec",
    "Configuration",
    "Elsewhere",
    "Entry",
    "EntryParameters",
    "GroupKind",
    "GroupSpec",
    "MemberId",
    "NotRun",
    "Outcome",
    "RequestId",
    "TargetSpec",
    "Template",
    "Unknown",
]
