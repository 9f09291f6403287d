"""Extrapolates the measured cost lines to a deployment size.

`python -m burdockhaven_bench.capacity_forecast out/capacity.json` prints the tables of
docs/CAPACITY.md.
"""

import argparse
import sys
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

import msgspec

from burdockhaven_bench.capacity import Row

# Limits on the resources that a daemon may use for control.
BUDGET_CORE_FRACTION = 0.014
BUDGET_BYTES_PER_S = 7_000.0
BUDGET_MB = 32.0

US_PER_S = 1e6
BYTES_PER_MB = 1e6
SECONDS_PER_DAY = 86_400
MODELS = 4
# Intervals and lifetimes of the production code, in seconds.
HEARTBEAT_INTERVAL_S = 0.5
TICK_INTERVAL_S = 0.05
GRANT_INTERVAL_S = 0.5
CLOSE_RENEWAL_INTERVAL_S = 0.5
RECORD_LIFETIME_S = 60.0
LOAD_POLL_INTERVAL_S = 0.9
VM_LIST_INTERVAL_S = 1.8
LEASE_RENEWAL_INTERVAL_S = 1.8
CALLS_PER_RENEWAL = 2
SCRAPE_INTERVAL_S = 15.0
# Tokens per answer, and per progress report.
ANSWER_TOKENS = 333
PROGRESS_TOKENS = 16
# Progress reports that the line "whole request, decisions" already includes.
MEASURED_PROGRESS_REPORTS = 5
# Limit on the targets that a heartbeat of the bench lists.
MAX_HEARTBEAT_TARGETS = 80
# Numbers of members and targets in the bench while the other one is varied.
BENCH_MEMBERS = 9
BENCH_TARGETS = 40
MAX_QUEUED = 4_096
# Bytes that the MAC and ZeroMQ's framing add to a message between members.
MESSAGE_OVERHEAD_BYTES = 26
# Bytes of one VM in the list, of a member's lease, of a load poll with the headers of
# request and response, and of a close request or promise.
VM_BYTES = 65
LEASE_BYTES = 190
LOAD_POLL_BYTES = 420
CLOSE_MESSAGE_BYTES = 85


@dataclass(frozen=True, slots=True)
class DeploymentSize:
    """Size of a deployment, as one member sees it."""

    name: str
    # Members that exchange heartbeats.
    members: int
    # Targets in the member's configuration.
    targets: int
    accounts: int
    # Requests per second at one member.
    requests_per_s: float
    # Configuration changes per day.
    changes_per_day: int


TODAY = DeploymentSize("today", 9, 10, 5, 10.0, 50)
REGION = DeploymentSize("two years, a region", 78, 529, 5_900, 78.0, 4_200)
FLEET = DeploymentSize("two years, one fleet", 540, 3_700, 5_900, 78.0, 4_200)


@dataclass(frozen=True, slots=True)
class RoleCost:
    """Resources that one role uses in one daemon."""

    role: str
    # Fraction of one core.
    core: float
    # Bytes per second, sent and received.
    bytes_per_s: float
    memory_mb: float
    # Whether the role counts against the budget for control.
    is_control: bool = True


class FittedLines:
    """The fitted lines of all costs, by name and variable."""

    def __init__(self, rows: Sequence[Row]) -> None:
        self.rows = {(row.name, row.variable): row for row in rows}

    def at(self, name: str, variable: str, size: float) -> float:
        """Return the value of a line at a size; never negative."""
        row = self.rows[name, variable]
        return max(0.0, row.intercept + row.slope * size)

    def slope(self, name: str, variable: str) -> float:
        """Return the growth per unit of size."""
        return self.rows[name, variable].slope


def costs(lines: FittedLines, size: DeploymentSize) -> tuple[RoleCost, ...]:
    """Return the cost of each role at a size."""
    return (
        _requests(lines, size),
        _member(lines, size),
        _coordinator(lines, size),
        _tier_admission(lines, size),
        _configuration(lines, size),
        _target_watcher(lines, size),
        _platform(lines, size),
        _administration(lines, size),
        _metrics(lines, size),
    )


def _requests(lines: FittedLines, size: DeploymentSize) -> RoleCost:
    decisions_us = lines.at("whole request, decisions", "targets", size.targets)
    reports = ANSWER_TOKENS / PROGRESS_TOKENS - MEASURED_PROGRESS_REPORTS
    progress_us = reports * lines.at("progress of a run", "targets", size.targets)
    look_up_us = lines.at("look-up", "members", size.members)
    per_request_us = decisions_us + progress_us + look_up_us
    records = size.requests_per_s * RECORD_LIFETIME_S
    memory = records * lines.slope("records kept", "requests")
    memory += MAX_QUEUED * lines.slope("queued requests kept", "requests")
    core = per_request_us * size.requests_per_s / US_PER_S
    return RoleCost(
        "queue and admission", core, 0.0, memory / BYTES_PER_MB, is_control=False
    )


def _member(lines: FittedLines, size: DeploymentSize) -> RoleCost:
    others = size.members - 1
    per_s = others / HEARTBEAT_INTERVAL_S
    targets = min(size.targets, MAX_HEARTBEAT_TARGETS)
    link_us = lines.at("send and receive a heartbeat", "targets", targets)
    apply_us = lines.at("take in a heartbeat", "members", size.members)
    create_us = lines.at("tick with heartbeats", "members", size.members)
    tick_us = lines.at("tick without heartbeats", "targets", size.targets)
    core_us = (
        per_s * (link_us + apply_us)
        + create_us / HEARTBEAT_INTERVAL_S
        + tick_us / TICK_INTERVAL_S
    )
    length = lines.at("heartbeat", "targets", targets) + MESSAGE_OVERHEAD_BYTES
    memory = lines.at("entry kept", "targets", size.targets)
    extra_members = max(0, size.members - BENCH_MEMBERS)
    memory += extra_members * lines.slope("entry kept", "members")
    return RoleCost(
        "member",
        core_us / US_PER_S,
        2 * per_s * length,
        memory / BYTES_PER_MB,
    )


def _coordinator(lines: FittedLines, size: DeploymentSize) -> RoleCost:
    """Cost of the member that grants one group's slot shares; most grant none."""
    by_member = lines.slope("grant one group's shares", "members") * MODELS
    pair_us = by_member / BENCH_TARGETS
    group_targets = size.targets / MODELS
    grant_us = pair_us * size.members * group_targets
    length = lines.at("share grant", "targets", size.targets) + MESSAGE_OVERHEAD_BYTES
    bytes_per_s = (size.members - 1) * length / GRANT_INTERVAL_S
    return RoleCost(
        "coordinator of a group",
        grant_us / GRANT_INTERVAL_S / US_PER_S,
        bytes_per_s,
        0.0,
    )


def _tier_admission(lines: FittedLines, size: DeploymentSize) -> RoleCost:
    """Cost of closing a group; a member that does not shed has none."""
    close_us = lines.at("close a floor once", "members", size.members)
    messages = 2 * (size.members - 1) / CLOSE_RENEWAL_INTERVAL_S
    link_us = messages / 2 * lines.at("send and receive a heartbeat", "targets", 0)
    core = (close_us / CLOSE_RENEWAL_INTERVAL_S + link_us) / US_PER_S
    return RoleCost("floor, while shedding", core, messages * CLOSE_MESSAGE_BYTES, 0.0)


def _configuration(lines: FittedLines, size: DeploymentSize) -> RoleCost:
    per_s = size.changes_per_day / SECONDS_PER_DAY
    create_us = lines.at("make an offer", "accounts", size.accounts)
    apply_us = lines.at("take in an offer", "accounts", size.accounts)
    read_us = lines.at("read a change from the store", "accounts", size.accounts)
    length = lines.at("configuration offer", "accounts", size.accounts)
    memory = lines.at("configuration kept", "accounts", size.accounts)
    return RoleCost(
        "configuration relay",
        per_s * (create_us + apply_us + read_us) / US_PER_S,
        per_s * 2 * length,
        memory / BYTES_PER_MB,
    )


def _target_watcher(lines: FittedLines, size: DeploymentSize) -> RoleCost:
    polls_per_s = size.targets / LOAD_POLL_INTERVAL_S
    poll_us = lines.slope("ask targets for their load", "calls")
    vms = size.members + size.targets
    read_us = lines.at("read the VM list", "VMs", vms)
    apply_us = lines.at("take in the VM list", "targets", size.targets)
    core = (
        polls_per_s * poll_us + (read_us + apply_us) / VM_LIST_INTERVAL_S
    ) / US_PER_S
    bytes_per_s = polls_per_s * LOAD_POLL_BYTES + vms * VM_BYTES / VM_LIST_INTERVAL_S
    return RoleCost("target watcher", core, bytes_per_s, 0.0)


def _platform(lines: FittedLines, size: DeploymentSize) -> RoleCost:
    calls_per_s = CALLS_PER_RENEWAL / LEASE_RENEWAL_INTERVAL_S
    call_us = lines.slope("call the key-value service", "calls")
    bytes_per_s = size.members * LEASE_BYTES / LEASE_RENEWAL_INTERVAL_S
    return RoleCost(
        "lease in the key-value service",
        calls_per_s * call_us / US_PER_S,
        bytes_per_s,
        0.0,
    )


def _administration(lines: FittedLines, size: DeploymentSize) -> RoleCost:
    """Cost of administration at an entry that receives all changes."""
    per_s = size.changes_per_day / SECONDS_PER_DAY
    check_us = lines.at("validate configuration", "accounts", size.accounts)
    encode_us = lines.at("encode configuration", "accounts", size.accounts)
    core = per_s * (check_us + encode_us) / US_PER_S
    return RoleCost("administration", core, 0.0, 0.0)


def _metrics(lines: FittedLines, size: DeploymentSize) -> RoleCost:
    record_us = lines.at("record a request in the metrics", "accounts", size.accounts)
    render_us = lines.at("render the metrics", "accounts", size.accounts)
    length = lines.at("page of metrics", "accounts", size.accounts)
    memory = lines.at("metrics kept", "accounts", size.accounts)
    core = (size.requests_per_s * record_us + render_us / SCRAPE_INTERVAL_S) / US_PER_S
    return RoleCost("metrics", core, length / SCRAPE_INTERVAL_S, memory / BYTES_PER_MB)


def format_table(lines: FittedLines, size: DeploymentSize) -> str:
    """Format the costs at a size as a Markdown table."""
    head = f"| Role ({size.name}) | Core | Bytes a second | Memory, MB | Fits |"
    rows = [head, "|---|---|---|---|---|"]
    rows += [_table_row(cost) for cost in costs(lines, size)]
    return "\n".join(rows)


def _table_row(cost: RoleCost) -> str:
    exceeded = [
        name
        for name, value, budget in (
            ("processor", cost.core, BUDGET_CORE_FRACTION),
            ("bytes", cost.bytes_per_s, BUDGET_BYTES_PER_S),
            ("memory", cost.memory_mb, BUDGET_MB),
        )
        if value > budget
    ]
    verdict = "**no**: " + ", ".join(exceeded) if exceeded else "yes"
    verdict = verdict if cost.is_control else "not control"
    return (
        f"| {cost.role} | {cost.core:.2%} | {cost.bytes_per_s:,.0f} | "
        f"{cost.memory_mb:.1f} | {verdict} |"
    )


def main(arguments: list[str] | None = None) -> int:
    """Print the tables; return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("measured", type=Path, help="out/capacity.json")
    options = parser.parse_args(arguments)
    rows = msgspec.json.decode(options.measured.read_bytes(), type=list[Row])
    lines = FittedLines(rows)
    for size in (TODAY, REGION, FLEET):
        print(format_table(lines, size), end="\n\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
