"""What goes wrong in a run of the policy bench, and when."""

import enum

from burdockhaven_bench.best_rate import group_capacity
from burdockhaven_bench.network import Network
from burdockhaven_bench.sites import GroupLoad
from burdockhaven_bench.workload import Window

# How many times slower a straggler is.
STRAGGLER_SLOWNESS = 8.0
# The part of the window at which a fault begins and ends.
FAULT_BEGINS = 0.35
FAULT_ENDS = 0.65


class Scenario(enum.Enum):
    """The faults that a run can have."""

    STEADY = "steady"
    # Arrivals come at several times their rate now and then.
    BURST = "burst"
    # The first target of each group is slow throughout.
    STRAGGLER = "straggler"
    # The first two targets of each group become slow while runs are under way.
    SLOWDOWN = "slowdown"
    # One entry process dies.
    ENTRY_KILLED = "entry-killed"
    # The key-value service is down from before the first request.
    KV_DOWN = "kv-down"


def prepare(scenario: Scenario, network: Network, window: Window) -> None:
    """Schedule the faults of a scenario."""
    begins_s = window.start_s + FAULT_BEGINS * window.length_s
    ends_s = window.start_s + FAULT_ENDS * window.length_s
    if scenario is Scenario.STRAGGLER:
        _slow(network, 1, STRAGGLER_SLOWNESS)
    elif scenario is Scenario.SLOWDOWN:
        at = network.scheduler.at
        at(begins_s, lambda: _slow(network, 2, STRAGGLER_SLOWNESS))
        at(ends_s, lambda: _slow(network, 2, 1.0))
    elif scenario is Scenario.ENTRY_KILLED:
        network.scheduler.at(begins_s, lambda: _kill_entry(network))


def mean_capacity(scenario: Scenario, site: str, group: GroupLoad) -> float:
    """Output tokens per second that the group's targets can do, over the window."""
    if scenario is Scenario.STRAGGLER:
        return group_capacity(site, group, (STRAGGLER_SLOWNESS,))
    if scenario is Scenario.SLOWDOWN:
        slow = group_capacity(site, group, (STRAGGLER_SLOWNESS,) * 2)
        part = FAULT_ENDS - FAULT_BEGINS
        return slow * part + group_capacity(site, group) * (1.0 - part)
    return group_capacity(site, group)


def _slow(network: Network, number: int, slowness: float) -> None:
    for group in network.site.groups:
        for spec in group.spec.targets[:number]:
            network.targets[spec.name].set_slowness(slowness)


def _kill_entry(network: Network) -> None:
    node = network.living()[0]
    node.alive = False
    network.callers.on_entry_crash(node.member_id.entry)
