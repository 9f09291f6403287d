"""Fault scenarios of the policy bench and their schedule."""

import enum

from burdockhaven_bench.best_rate import group_capacity
from burdockhaven_bench.network import Network
from burdockhaven_bench.sites import GroupLoad
from burdockhaven_bench.workload import Window

# Factor by which a straggler is slower.
STRAGGLER_SLOWNESS = 8.0
# Start and end of a temporary fault, as fractions of the measured window.
FAULT_START_FRACTION = 0.35
FAULT_END_FRACTION = 0.65


class Scenario(enum.Enum):
    """Fault scenarios; the values are choices on the command line."""

    STEADY = "steady"
    # The arrival rate periodically rises to several times its usual value.
    BURST = "burst"
    # The first target of each group is slow throughout.
    STRAGGLER = "straggler"
    # The first two targets of each group slow down while runs are in flight.
    SLOWDOWN = "slowdown"
    # One entry process crashes.
    ENTRY_KILLED = "entry-killed"
    # The key-value service is unavailable from before the first request.
    KV_DOWN = "kv-down"


def schedule_faults(scenario: Scenario, network: Network, window: Window) -> None:
    """Schedule the faults of a scenario within the measured window."""
    start_s = window.start_s + FAULT_START_FRACTION * window.duration_s
    end_s = window.start_s + FAULT_END_FRACTION * window.duration_s
    if scenario is Scenario.STRAGGLER:
        _set_slowness(network, 1, STRAGGLER_SLOWNESS)
    elif scenario is Scenario.SLOWDOWN:
        at = network.scheduler.at
        at(start_s, lambda: _set_slowness(network, 2, STRAGGLER_SLOWNESS))
        at(end_s, lambda: _set_slowness(network, 2, 1.0))
    elif scenario is Scenario.ENTRY_KILLED:
        network.scheduler.at(start_s, lambda: _kill_entry(network))


def mean_capacity(scenario: Scenario, site: str, group: GroupLoad) -> float:
    """Mean output tokens per second that the group can produce over the window."""
    if scenario is Scenario.STRAGGLER:
        return group_capacity(site, group, (STRAGGLER_SLOWNESS,))
    if scenario is Scenario.SLOWDOWN:
        slow = group_capacity(site, group, (STRAGGLER_SLOWNESS,) * 2)
        fraction = FAULT_END_FRACTION - FAULT_START_FRACTION
        return slow * fraction + group_capacity(site, group) * (1.0 - fraction)
    return group_capacity(site, group)


def _set_slowness(network: Network, count: int, slowness: float) -> None:
    for group in network.site.groups:
        for spec in group.spec.targets[:count]:
            network.targets[spec.name].set_slowness(slowness)


def _kill_entry(network: Network) -> None:
    node = network.live_entries()[0]
    node.alive = False
    network.callers.on_entry_crash(node.member_id.entry)
