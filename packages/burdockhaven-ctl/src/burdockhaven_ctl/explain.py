"""From a request's identity to its cause, over the saved logs of the daemons.

The walk is that of docs/OPERATIONS.md: the request's own lines first, then what the
outcome asks for: the queue, the quota, the target, or the configuration of that moment.
"""

from collections import Counter

import msgspec

from burdockhaven_ctl.saved_log import LogLine, SavedLog

# Numbers of the events that the walk looks at (docs/EVENTS.md).
START = 101
ANSWERED = 306
TURNED_AWAY = 307
IN_FORCE = 401
OUTAGE_BEGIN = 403
OUTAGE_END = 404
QUEUE_HELD = 603
# Milliseconds around a request's end in which the same target's failures belong to it.
TARGET_WINDOW_MS = 2_000
# Milliseconds before a refusal in which a queue's line shows its engines.
QUEUE_WINDOW_MS = 1_500
# Milliseconds over which quotas count.
QUOTA_WINDOW_MS = 8_000
CLIENT_LEFT = 0
SUCCESS = 200


class Explanation(msgspec.Struct, frozen=True):
    """What the logs say of one request."""

    request: str
    # One line for each try, in order.
    tries: tuple[str, ...]
    # What the outcome of the last try points to.
    findings: tuple[str, ...]


def explain(request: str, log: SavedLog) -> Explanation | None:
    """The walk for one request; None if no line names it."""
    lines = [line for line in log.lines if line.fields.get("request") == request]
    if not lines:
        return None
    last = lines[-1]
    if last.number == TURNED_AWAY:
        findings = _of_configuration(last, log)
    else:
        findings = _of_answer(last, log)
    return Explanation(request, tuple(_tell(line) for line in lines), tuple(findings))


def _tell(line: LogLine) -> str:
    if line.number == TURNED_AWAY:
        where = f"{line.text('host')}{line.text('path')}"
        return f"{line.node}: {where} was turned away with {line.text('status')}"
    told = (
        f"{line.node}: {line.text('status')} after {line.count('total_ms')} ms, "
        f"{line.count('queued_ms')} ms of them queued, {line.count('sends')} sends, "
        f"version {line.count('version')}"
    )
    if line.text("target"):
        told += f", last at {line.text('target')}"
    if line.count("events"):
        told += (
            f"; {line.count('events')} events, the first after "
            f"{line.count('first_event_ms')} ms, longest pause "
            f"{line.count('longest_pause_ms')} ms"
        )
    if line.text("failures"):
        told += f"; failures: {line.text('failures')}"
    return told


def _of_answer(line: LogLine, log: SavedLog) -> list[str]:
    status = line.count("status")
    if status == 429:
        return _of_quota(line, log)
    if status == 503 and line.count("sends") == 0:
        return _of_queue(line, log) + _of_store(line, log)
    if status == CLIENT_LEFT:
        left = f"the client left after {line.count('total_ms')} ms"
        return [left, *_of_target(line, log)]
    if line.text("failures") or status != SUCCESS:
        return _of_target(line, log)
    return ["nothing failed on the way"]


def _of_quota(line: LogLine, log: SavedLog) -> list[str]:
    account = line.text("account")
    since_ms = line.at_ms - QUOTA_WINDOW_MS
    used = [
        other
        for other in _within(log, since_ms, line.at_ms)
        if other.number == ANSWERED
        and other.text("account") == account
        and other.count("sends")
    ]
    tokens = sum(o.count("prompt_tokens") + o.count("output_tokens") for o in used)
    found = [
        f"the quota of {account}: {len(used)} of its requests were sent in the "
        f"{QUOTA_WINDOW_MS // 1000} s before, {tokens} tokens"
    ]
    starts = [o for o in _within(log, since_ms, line.at_ms) if o.number == START]
    if starts:
        nodes = ", ".join(sorted({o.node for o in starts}))
        found.append(f"{nodes} started in that time: what was used before is not known")
    return found


def _of_queue(line: LogLine, log: SavedLog) -> list[str]:
    near = [
        other
        for other in _within(log, line.at_ms - QUEUE_WINDOW_MS, line.at_ms)
        if other.number == QUEUE_HELD
    ]
    if not near:
        return ["no member told of a queue then: it asked a broker of its own"]
    held = near[-1]
    return [
        f"{held.node} held {held.count('queued')} requests back; engines: "
        f"{held.text('engines')}"
    ]


def _of_store(line: LogLine, log: SavedLog) -> list[str]:
    begun: LogLine | None = None
    for other in log.lines:
        if other.at_ms > line.at_ms:
            break
        if other.node == line.node and other.number == OUTAGE_BEGIN:
            begun = other
        elif other.node == line.node and other.number in (OUTAGE_END, START):
            begun = None
    if begun is None:
        return []
    return [f"{line.node} had lost the store: {begun.text('detail')}"]


def _of_target(line: LogLine, log: SavedLog) -> list[str]:
    target = line.text("target")
    if not target:
        return []
    near = [
        other
        for other in _within(
            log, line.at_ms - TARGET_WINDOW_MS, line.at_ms + TARGET_WINDOW_MS
        )
        if other.number == ANSWERED and other is not line
    ]
    there = [other for other in near if other.text("target") == target]
    failed = [other for other in near if target in other.text("failures")]
    found = [
        f"within {TARGET_WINDOW_MS // 1000} s, {len(there)} other requests ended at "
        f"{target} and {len(failed)} failed there"
    ]
    kinds = Counter(_kind(other.text("failures"), target) for other in failed)
    found += [f"{count} times: {kind}" for kind, count in kinds.most_common(3)]
    return found


def _kind(failures: str, target: str) -> str:
    """The last failure at the target, without its name."""
    parts = [part for part in failures.split("; ") if target in part]
    return parts[-1].replace(target, "it") if parts else failures


def _of_configuration(line: LogLine, log: SavedLog) -> list[str]:
    versions = [
        other
        for other in log.lines
        if other.number == IN_FORCE and other.node == line.node
    ]
    before = [other for other in versions if other.at_ms <= line.at_ms]
    after = [other for other in versions if other.at_ms > line.at_ms]
    if not before:
        found = [f"{line.node} knew no configuration"]
    else:
        age_ms = line.at_ms - before[-1].at_ms
        version = before[-1].count("version")
        found = [f"version {version} had been in force there for {age_ms} ms"]
    if after:
        wait_ms = after[0].at_ms - line.at_ms
        version = after[0].count("version")
        found.append(f"version {version} came {wait_ms} ms later")
    return found + _of_store(line, log)


def _within(log: SavedLog, from_ms: int, to_ms: int) -> list[LogLine]:
    return [line for line in log.lines if from_ms <= line.at_ms <= to_ms]
