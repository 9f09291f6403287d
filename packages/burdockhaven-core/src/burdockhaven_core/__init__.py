"""Sans-I/O core of the burdockhaven request scheduler.

Nothing in this package opens a socket, reads a clock or creates a random number
generator: the current time and a seeded generator are arguments. `Entry.step` takes the
events of `burdockhaven_core.events` and returns the actions of
`burdockhaven_core.actions`.
"""

import importlib
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
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
    from burdockhaven_core.outcome import NotRun, Outcome, Redirect, Unknown

__all__ = [
    "AccountParameters",
    "ClassSpec",
    "Configuration",
    "Redirect",
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

# Module of each public name. Names are imported lazily, on first access: a process on
# the users' platform needs none of them, and the memory of its VMs is scarce.
_MODULES = {
    "AccountParameters": "burdockhaven_core.configuration",
    "ClassSpec": "burdockhaven_core.configuration",
    "Configuration": "burdockhaven_core.configuration",
    "Redirect": "burdockhaven_core.outcome",
    "Entry": "burdockhaven_core.entry",
    "EntryParameters": "burdockhaven_core.entry_state",
    "GroupKind": "burdockhaven_core.configuration",
    "GroupSpec": "burdockhaven_core.configuration",
    "MemberId": "burdockhaven_core.identity",
    "NotRun": "burdockhaven_core.outcome",
    "Outcome": "burdockhaven_core.outcome",
    "RequestId": "burdockhaven_core.identity",
    "TargetSpec": "burdockhaven_core.configuration",
    "Template": "burdockhaven_core.configuration",
    "Unknown": "burdockhaven_core.outcome",
}


def __getattr__(name: str) -> Any:
    """Import a public name on first access."""
    if name not in _MODULES:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(importlib.import_module(_MODULES[name]), name)
