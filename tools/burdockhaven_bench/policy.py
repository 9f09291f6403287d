"""Benchmark of the scheduling decisions under load, in virtual time."""

import argparse
import random
import sys
from collections.abc import Callable, Sequence
from dataclasses import dataclass

import msgspec

from burdockhaven_bench.entry_node import EntryNode
from burdockhaven_bench.network import Network
from burdockhaven_bench.report import (
    RunFigures,
    TargetUsage,
    format_figures,
    group_figures,
)
from burdockhaven_bench.scenarios import Scenario, mean_capacity, schedule_faults
from burdockhaven_bench.sites import SITES, GroupLoad, Site
from burdockhaven_bench.virtual_time import Scheduler
from burdockhaven_bench.workload import Arrival, Window, make_arrivals
from burdockhaven_core.entry import Entry
from burdockhaven_core.entry_state import EntryParameters
from burdockhaven_core.events import (
    ConfigurationRead,
    MemberLeasesRead,
    Tick,
    VmListRead,
)
from burdockhaven_core.identity import EntryName, Incarnation, MemberId
from burdockhaven_core.target_selection import (
    TargetPolicy,
    bounded,
    least_reported,
    round_robin,
    two_choices,
)

TICK_INTERVAL_S = 0.05
LOAD_POLL_INTERVAL_S = 1.0
LEASE_READ_INTERVAL_S = 1.0
# Lifetime of a member lease in the key-value service after a renewal.
LEASE_TTL_S = 10.0
# Time for the members to form a membership before the first arrival.
MEMBERSHIP_SETTLING_S = 5.0
# Time under load before the measured window.
WARM_UP_S = 60.0
WINDOW_S = 240.0

POLICIES: dict[str, Callable[[random.Random], TargetPolicy]] = {
    "bounded": bounded,
    "round_robin": lambda rng: round_robin(),
    "least_reported": lambda rng: least_reported(),
    "two_choices": two_choices,
}


@dataclass(frozen=True, slots=True)
class PolicyOptions:
    """Parameters of one benchmark run."""

    site: str
    # Offered work as a fraction of the targets' capacity without faults.
    load: float
    seed: int
    policy: str = "bounded"
    scenario: Scenario = Scenario.STEADY
    warm_up_s: float = WARM_UP_S
    window_s: float = WINDOW_S


def run_policy(options: PolicyOptions) -> RunFigures:
    """Simulate the site under load and return the measured figures."""
    site = SITES[options.site]()
    rng = random.Random(options.seed)
    scheduler = Scheduler()
    network = Network(site, scheduler, rng)
    kv_down = options.scenario is Scenario.KV_DOWN
    _start_entries(network, options.policy, kv_down)
    start_s = MEMBERSHIP_SETTLING_S + options.warm_up_s
    window = Window(start_s, start_s + options.window_s)
    schedule_faults(options.scenario, network, window)
    burst = options.scenario is Scenario.BURST
    load_window = Window(MEMBERSHIP_SETTLING_S, window.end_s)
    for arrival in make_arrivals(site, options.load, load_window, burst, rng):
        _schedule_arrival(network, arrival)
    scheduler.run(window.end_s)
    sent = [(node.messages_sent, node.bytes_sent) for node in network.entries.values()]
    scheduler.run(window.end_s + _longest_deadline_s(site))
    entry_seconds = window.end_s * len(sent)
    return RunFigures(
        site=options.site,
        policy=options.policy,
        scenario=options.scenario.value,
        load=options.load,
        seed=options.seed,
        groups={
            str(group.spec.name): group_figures(
                group,
                mean_capacity(options.scenario, site.name, group),
                network.callers.requests,
                _target_use(network, group),
                window,
            )
            for group in site.groups
        },
        control_messages=sum(messages for messages, _ in sent) / entry_seconds,
        control_bytes=sum(size for _, size in sent) / entry_seconds,
    )


def _start_entries(network: Network, policy: str, kv_down: bool) -> None:
    site, scheduler = network.site, network.scheduler
    for number in range(site.entries):
        parameters = _parameters(site, number, network.rng)
        rng = random.Random(network.rng.getrandbits(64))
        target_policy = POLICIES[policy](rng)
        entry = Entry.from_config(parameters, rng, 0.0, target_policy)
        node = EntryNode(entry, network)
        network.entries[node.member_id] = node
    nodes = list(network.entries.values())
    for number, node in enumerate(nodes):
        node.feed(ConfigurationRead(site.configuration()))
        first_s = TICK_INTERVAL_S * number / len(nodes)
        scheduler.every(TICK_INTERVAL_S, first_s, _tick_callback(node))
    scheduler.every(LOAD_POLL_INTERVAL_S, 0.0, network.poll_loads)
    scheduler.every(
        LEASE_READ_INTERVAL_S, 0.0, lambda: _read_platform(network, kv_down)
    )


def _tick_callback(node: EntryNode) -> Callable[[], None]:
    return lambda: node.feed(Tick())


def _read_platform(network: Network, kv_down: bool) -> None:
    live_entries = {
        node.member_id: node.parameters.peer_address for node in network.live_entries()
    }
    addresses = set(live_entries.values())
    addresses.update(
        target.spec.address.removeprefix("http://")
        for target in network.targets.values()
    )
    for node in network.live_entries():
        node.feed(VmListRead(frozenset(addresses), frozenset()))
        if not kv_down or network.scheduler.now < MEMBERSHIP_SETTLING_S:
            own_lease_until_s = network.scheduler.now + LEASE_TTL_S
            node.feed(MemberLeasesRead(live_entries, own_lease_until_s))


def _parameters(site: Site, number: int, rng: random.Random) -> EntryParameters:
    return EntryParameters(
        member_id=MemberId(
            EntryName(f"entry-{number}"), Incarnation(f"{rng.getrandbits(128):032x}")
        ),
        zone=site.zones[number % len(site.zones)],
        caller_address=f"127.0.0.1:{8100 + number}",
        peer_address=f"127.0.0.1:{8200 + number}",
        assignment_key=b"key of the bench",
    )


def _schedule_arrival(network: Network, arrival: Arrival) -> None:
    network.scheduler.at(arrival.at_s, lambda: network.callers.send(arrival))


def _longest_deadline_s(site: Site) -> float:
    return max(load.spec.deadline_ms for _, load in site.classes()) / 1000


def _target_use(network: Network, group: GroupLoad) -> TargetUsage:
    use = TargetUsage()
    by_run = {str(run): request for run, request in network.callers.by_run.items()}
    for spec in group.spec.targets:
        for run in network.targets[spec.name].run_costs:
            use.add(by_run[run.run_id], run.processed_tokens, run.duration_s)
    return use


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the benchmark from the command line."""
    parser = argparse.ArgumentParser(prog="scripts/bench policy", description=__doc__)
    parser.add_argument("--site", choices=sorted(SITES), required=True)
    parser.add_argument("--load", type=float, required=True)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--policy", choices=sorted(POLICIES), default="bounded")
    scenarios = [scenario.value for scenario in Scenario]
    parser.add_argument("--scenario", choices=scenarios, default="steady")
    parser.add_argument("--window", type=float, default=WINDOW_S)
    parser.add_argument("--json", action="store_true")
    parsed = parser.parse_args(arguments)
    figures = run_policy(
        PolicyOptions(
            site=parsed.site,
            load=parsed.load,
            seed=parsed.seed,
            policy=parsed.policy,
            scenario=Scenario(parsed.scenario),
            window_s=parsed.window,
        )
    )
    if parsed.json:
        sys.stdout.write(msgspec.json.encode(figures).decode() + "\n")
    else:
        sys.stdout.write(format_figures(figures) + "\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
