"""What a target can take now, from what it reports and from how it responds."""

from burdockhaven_core.capacity.machine_speed import MachineSpeed, SlowShare
from burdockhaven_core.capacity.pace import Pace
from burdockhaven_core.capacity.pace_changes import PaceChange, PaceChanges, PaceReason

__all__ = [
    "MachineSpeed",
    "Pace",
    "PaceChange",
    "PaceChanges",
    "PaceReason",
    "SlowShare",
]
