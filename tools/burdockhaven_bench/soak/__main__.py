"""`scripts/soak`: plays a seeded plan of faults against real daemons and judges it.

The exit code is 0 if every rule holds, 1 if a rule is broken and 130 if interrupted.
"""

import argparse
import asyncio
import contextlib
import itertools
import sys
import tempfile
import time
from collections.abc import Sequence
from pathlib import Path

from burdockhaven_bench.soak.history import FaultKind
from burdockhaven_bench.soak.oracle import Verdict, judge
from burdockhaven_bench.soak.plan import EXTRA, Plan, read_plan, write_plan
from burdockhaven_bench.soak.plot import write_plot
from burdockhaven_bench.soak.report import format_findings, format_table, write_json
from burdockhaven_bench.soak.run import SoakOptions, SoakResult, run_soak
from burdockhaven_bench.soak.shrink import shrink
from burdockhaven_bench.soak.site import SITES

BROKEN = 1
INTERRUPTED = 130
# A daemon serves from its own loopback address, and replacements come on top.
MAX_DAEMONS = 12


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the soak; return the exit code."""
    options = _parse(arguments)
    with contextlib.ExitStack() as stack:
        folder = options.report
        if folder is None:
            folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        folder.mkdir(parents=True, exist_ok=True)
        try:
            return _run(options, folder)
        except KeyboardInterrupt:
            print("interrupted; all processes stopped", file=sys.stderr)
            return INTERRUPTED


def _run(options: argparse.Namespace, folder: Path) -> int:
    plan = _plan(options)
    command = _command(options)
    started_s = time.monotonic()

    def report(text: str) -> None:
        print(f"{time.monotonic() - started_s:7.1f} s  {text}", flush=True)

    def play(plan: Plan, folder: Path) -> tuple[SoakResult, list[Verdict]]:
        folder.mkdir(parents=True, exist_ok=True)
        soak_options = SoakOptions(
            plan, options.site, options.daemons, options.clients, folder
        )
        result = asyncio.run(run_soak(soak_options, report))
        return result, judge(result.history)

    report(command)
    result, verdicts = play(plan, folder)
    table = format_table(result, verdicts)
    findings = format_findings(result, verdicts, command, folder)
    print(table, findings, sep="\n")
    if options.report is not None:
        (folder / "report.txt").write_text(f"{command}\n{table}\n{findings}\n")
        write_plot(result, folder / "report.png")
        write_json(result, verdicts, command, folder / "report.json")
    broken = _broken_checks(verdicts)
    if broken and options.shrink:
        numbers = itertools.count(1)

        def is_broken(candidate: Plan) -> bool:
            faults = ", ".join(fault.kind.value for fault in candidate.faults)
            report(f"plan of {candidate.duration_s:.1f} s with {faults or 'no fault'}")
            _, verdicts = play(candidate, folder / f"shrink-{next(numbers)}")
            return bool(broken & _broken_checks(verdicts))

        shrunk = shrink(plan, is_broken, options.shrink)
        write_plan(shrunk.plan, folder / "plan.json")
        report(
            f"{len(shrunk.plan.faults)} of {len(plan.faults)} faults are left after "
            f"{shrunk.plays} plays; again: scripts/soak --plan {folder / 'plan.json'}"
        )
    return BROKEN if broken else 0


def _plan(options: argparse.Namespace) -> Plan:
    if options.plan is not None:
        return read_plan(options.plan)
    return Plan.from_seed(
        options.seed,
        options.minutes * 60,
        options.daemons,
        without=frozenset(FaultKind(kind) for kind in options.without),
        extra=frozenset(FaultKind(kind) for kind in options.extra),
    )


def _broken_checks(verdicts: list[Verdict]) -> set[tuple[str, str]]:
    """Return the rule and the name of each check that found its fault."""
    return {(v.rule.value, v.check) for v in verdicts if v.is_broken}


def _parse(arguments: Sequence[str] | None) -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="scripts/soak", description=__doc__)
    source = parser.add_mutually_exclusive_group(required=True)
    source.add_argument("--seed", type=int)
    source.add_argument("--plan", type=Path, help="file of a plan that was shrunk")
    parser.add_argument("--minutes", type=float, default=1.0)
    parser.add_argument("--site", choices=sorted(SITES), default="mixed")
    parser.add_argument(
        "--daemons", type=int, default=3, choices=range(2, MAX_DAEMONS + 1)
    )
    parser.add_argument("--clients", type=int, default=32)
    parser.add_argument(
        "--without",
        action="append",
        default=[],
        choices=[kind.value for kind in FaultKind],
        help="leave out a kind of fault; the rest of the plan stays",
    )
    parser.add_argument(
        "--with",
        dest="extra",
        action="append",
        default=[],
        choices=[kind.value for kind in EXTRA],
        help="add a kind of fault that is not in every plan; the rest of it stays",
    )
    parser.add_argument("--report", type=Path, help="folder of the report and logs")
    parser.add_argument(
        "--shrink",
        type=int,
        default=0,
        metavar="PLAYS",
        help="shrink a plan that breaks a rule, with this many runs at most",
    )
    options = parser.parse_args(arguments)
    if options.shrink and options.report is None:
        parser.error("--shrink needs --report, the folder of the plan that it finds")
    return options


def _command(options: argparse.Namespace) -> str:
    parts = [
        f"scripts/soak --seed {options.seed} --minutes {options.minutes:g}"
        if options.plan is None
        else f"scripts/soak --plan {options.plan}",
        f"--site {options.site} --daemons {options.daemons}",
        f"--clients {options.clients}",
        *(f"--without {kind}" for kind in options.without),
        *(f"--with {kind}" for kind in options.extra),
    ]
    return " ".join(parts)


if __name__ == "__main__":
    sys.exit(main())
