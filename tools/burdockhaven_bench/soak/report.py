"""Report of a run: tables, findings with their traces, and a JSON file."""

import dataclasses
import json
from collections import Counter
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from burdockhaven_bench.soak.history import Attempt, Ending, History
from burdockhaven_bench.soak.oracle import LOSS_SLACK_S, Case, Verdict
from burdockhaven_bench.soak.run import SoakResult

# Seconds before a case whose faults are shown.
FAULTS_BEFORE_S = 10.0
# Cases of one check that are traced, and log lines of one request.
MAX_TRACES = 3
MAX_LOG_LINES = 8
MAX_LOG_CHARACTERS = 600


def format_table(result: SoakResult, verdicts: list[Verdict]) -> str:
    """Format outcomes, faults and verdicts as a table."""
    history = result.history
    lines = ["outcomes"]
    outcomes = Counter(_outcome(attempt) for attempt in history.attempts)
    lines += [f"  {count:6} {outcome}" for outcome, count in sorted(outcomes.items())]
    lines += [f"  {count:6} {name}" for name, count in sorted(result.counts.items())]
    faults = Counter(fault.kind.value for fault in history.faults)
    lines.append("faults")
    lines += [f"  {count:6} {kind}" for kind, count in sorted(faults.items())]
    crashes = Counter(crash.part for crash in history.crashes)
    lines += [f"  {n:6} crashes on {part}" for part, n in sorted(crashes.items())]
    lines.append("checks (cases, allowed)")
    for verdict in verdicts:
        word = "BROKEN" if verdict.is_broken else "holds"
        name = f"{verdict.rule.value} {verdict.check}"
        lines.append(f"  {word:6} {name:30} {len(verdict.cases)}, {verdict.allowed}")
    lag = f"the clients were late by {result.longest_lag_s:.2f} s at most"
    if result.longest_lag_s > LOSS_SLACK_S:
        lag += ": more than the slack of LOST, so check the times of its cases"
    lines.append(lag)
    return "\n".join(lines)


def format_findings(
    result: SoakResult, verdicts: list[Verdict], command: str, folder: Path
) -> str:
    """Describe the first cases of each broken rule."""
    parts = []
    for verdict in verdicts:
        if not verdict.is_broken:
            continue
        name = f"{verdict.rule.value} {verdict.check}"
        parts.append(f"{name}: {len(verdict.cases)} cases. Again: {command}")
        for case in verdict.cases[:MAX_TRACES]:
            parts += [f"  {line}" for line in _trace(result, case, folder)]
    return "\n".join(parts)


def write_json(
    result: SoakResult, verdicts: list[Verdict], command: str, path: Path
) -> None:
    """Write everything that was seen and judged."""
    start_s = result.started_s
    content = {
        "command": command,
        "longest_lag_s": result.longest_lag_s,
        "counts": result.counts,
        "verdicts": [_verdict(verdict, start_s) for verdict in verdicts],
        "faults": [_relative(fault, start_s) for fault in result.history.faults],
        "crashes": [_relative(crash, start_s) for crash in result.history.crashes],
        "attempts": [_attempt(a, start_s) for a in result.history.attempts],
        "executions": [_relative(e, start_s) for e in result.history.executions],
    }
    path.write_text(json.dumps(content, default=str, indent=1))


def _outcome(attempt: Attempt) -> str:
    how = attempt.ending.value
    if attempt.ending is Ending.COMPLETE:
        how = str(attempt.status)
    elif attempt.status is not None:
        how += f" within {attempt.status}"
    return f"{attempt.route:10} {how}"


def _trace(result: SoakResult, case: Case, folder: Path) -> Iterator[str]:
    """Describe a case: its request, the faults around it and the log lines."""
    start_s = result.started_s
    yield f"{case.at_s - start_s:8.3f} s  {case.subject}: {case.detail}"
    for at_s, text in sorted(_events(result.history, case)):
        yield f"    {at_s - start_s:8.3f} s  {text}"
    for line in _log_lines(case.subject, folder):
        yield f"    log  {line}"


def _events(history: History, case: Case) -> Iterator[tuple[float, str]]:
    found = next((a for a in history.attempts if a.id == case.subject), None)
    request = None if found is None else found.request
    first_s = case.at_s
    for attempt in history.attempts:
        if attempt.request != request:
            continue
        sent_s = attempt.ended_s if attempt.sent_s is None else attempt.sent_s
        first_s = min(first_s, sent_s)
        where = f"{attempt.process}, connection {attempt.connection}"
        resumes = f", resumes {attempt.resumes}" if attempt.resumes else ""
        yield sent_s, f"{attempt.id} ({attempt.route}) sent to {where}{resumes}"
        events = f"{len(attempt.events)} of {attempt.expected_events} events"
        ended = f"{attempt.id} ends: {attempt.ending.value}, {attempt.status}, {events}"
        yield attempt.ended_s, ended
    ids = {a.id for a in history.attempts if a.request == request} | {case.subject}
    for run in history.executions:
        if run.attempt in ids:
            yield run.arrived_s, f"{run.attempt} reaches {run.target}"
            end = "at work" if run.end is None else run.end.value
            yield run.ended_s, f"{run.attempt} ends at {run.target}: {end}"
    for crash in history.crashes:
        if first_s - FAULTS_BEFORE_S <= crash.at_s <= case.at_s:
            yield crash.at_s, f"{crash.target} crashes on {crash.part}"
    for fault in history.faults:
        if fault.overlaps(first_s - FAULTS_BEFORE_S, case.at_s):
            yield fault.started_s, f"{fault.kind.value} of {fault.subject}"
            yield fault.ended_s, f"{fault.kind.value} of {fault.subject} ends"


def _log_lines(subject: str, folder: Path) -> list[str]:
    quoted = f'"{subject}"'
    lines = [
        f"{path.stem}: {line[:MAX_LOG_CHARACTERS]}"
        for path in sorted(folder.glob("*.log"))
        for line in path.read_text(errors="replace").splitlines()
        if quoted in line
    ]
    return lines[:MAX_LOG_LINES]


def _verdict(verdict: Verdict, start_s: float) -> dict[str, Any]:
    return {
        "rule": verdict.rule.value,
        "check": verdict.check,
        "allowed": verdict.allowed,
        "is_broken": verdict.is_broken,
        "cases": [_relative(case, start_s) for case in verdict.cases],
    }


def _attempt(attempt: Attempt, start_s: float) -> dict[str, Any]:
    """Describe an attempt without its single events."""
    content = _relative(dataclasses.replace(attempt, events=()), start_s)
    versions = {f"{event.version} at {event.target}" for event in attempt.events}
    return content | {"events": len(attempt.events), "written_by": sorted(versions)}


def _relative(record: Any, start_s: float) -> dict[str, Any]:
    """Convert a record to a dictionary with times since the start of the traffic."""
    content = dataclasses.asdict(record)
    for name, value in content.items():
        if name.endswith("_s") and name != "deadline_s" and value is not None:
            content[name] = round(value - start_s, 4)
        elif hasattr(value, "value"):
            content[name] = value.value
    return content
