"""From a request's identity to its cause, over the saved logs of the daemons.

The walk is that of docs/OPERATIONS.md: the request's own lines first, then what the
outcome asks for: the queue, the quota, the target, or the configuration of that moment.
"""

from collections import Counter

import msgspec

from burdockhaven_ctl.saved_log import SavedLog, SavedLogLine

# Numbers of the events that the walk looks at (docs/EVENTS.md).
START = 101
REQUEST_ANSWERED = 306
REQUEST_TURNED_AWAY = 307
CONFIGURATION_IN_FORCE = 401
KEY_VALUE_OUTAGE_BEGIN = 403
KEY_VALUE_OUTAGE_END = 404
QUEUE_HELD = 603
# Milliseconds around a request's end in which the same target's failures belong to it.
TARGET_WINDOW_MS = 2_000
# Milliseconds before a refusal in which a queue's line shows its engines.
QUEUE_WINDOW_MS = 1_500
# Milliseconds over which quotas count.
QUOTA_WINDOW_MS = 8_000
STATUS_CLIENT_DISCONNECTED = 0
STATUS_OK = 200


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
    if last.number == REQUEST_TURNED_AWAY:
        findings = _configuration_findings(last, log)
    else:
        findings = _answer_findings(last, log)
    return Explanation(
        request, tuple(_describe_attempt(line) for line in lines), tuple(findings)
    )


def _describe_attempt(line: SavedLogLine) -> str:
    if line.number == REQUEST_TURNED_AWAY:
        where = f"{line.text('host')}{line.text('path')}"
        return f"{line.node}: {where} was turned away with {line.text('status')}"
    description = (
        f"{line.node}: {line.text('status')} after {line.integer('total_ms')} ms, "
        f"{line.integer('queued_ms')} ms queued, {line.integer('sends')} sends, "
        f"version {line.integer('version')}"
    )
    if line.text("target"):
        description += f", last at {line.text('target')}"
    if line.integer("events"):
        description += (
            f"; {line.integer('events')} events, the first after "
            f"{line.integer('first_event_ms')} ms, longest pause "
            f"{line.integer('longest_pause_ms')} ms"
        )
    if line.text("failures"):
        description += f"; failures: {line.text('failures')}"
    return description


def _answer_findings(line: SavedLogLine, log: SavedLog) -> list[str]:
    status = line.integer("status")
    if status == 429:
        return _quota_findings(line, log)
    if status == 503 and line.integer("sends") == 0:
        return _queue_findings(line, log) + _store_outage_findings(line, log)
    if status == STATUS_CLIENT_DISCONNECTED:
        left = f"the client left after {line.integer('total_ms')} ms"
        return [left, *_target_findings(line, log)]
    if line.text("failures") or status != STATUS_OK:
        return _target_findings(line, log)
    return ["nothing failed on the way"]


def _quota_findings(line: SavedLogLine, log: SavedLog) -> list[str]:
    account = line.text("account")
    since_ms = line.at_ms - QUOTA_WINDOW_MS
    sent = [
        other
        for other in _lines_between(log, since_ms, line.at_ms)
        if other.number == REQUEST_ANSWERED
        and other.text("account") == account
        and other.integer("sends")
    ]
    tokens = sum(o.integer("prompt_tokens") + o.integer("output_tokens") for o in sent)
    findings = [
        f"the quota of {account}: {len(sent)} of its requests were sent in the "
        f"{QUOTA_WINDOW_MS // 1000} s before, {tokens} tokens"
    ]
    starts = [o for o in _lines_between(log, since_ms, line.at_ms) if o.number == START]
    if starts:
        nodes = ", ".join(sorted({o.node for o in starts}))
        findings.append(
            f"{nodes} started in that time: what was used before is not known"
        )
    return findings


def _queue_findings(line: SavedLogLine, log: SavedLog) -> list[str]:
    nearby = [
        other
        for other in _lines_between(log, line.at_ms - QUEUE_WINDOW_MS, line.at_ms)
        if other.number == QUEUE_HELD
    ]
    if not nearby:
        return ["no member told of a queue then: it asked a broker of its own"]
    queue = nearby[-1]
    return [
        f"{queue.node} held {queue.integer('queued')} requests back; engines: "
        f"{queue.text('engines')}"
    ]


def _store_outage_findings(line: SavedLogLine, log: SavedLog) -> list[str]:
    outage: SavedLogLine | None = None
    for other in log.lines:
        if other.at_ms > line.at_ms:
            break
        if other.node == line.node and other.number == KEY_VALUE_OUTAGE_BEGIN:
            outage = other
        elif other.node == line.node and other.number in (KEY_VALUE_OUTAGE_END, START):
            outage = None
    if outage is None:
        return []
    return [f"{line.node} had lost the store: {outage.text('detail')}"]


def _target_findings(line: SavedLogLine, log: SavedLog) -> list[str]:
    target = line.text("target")
    if not target:
        return []
    nearby = [
        other
        for other in _lines_between(
            log, line.at_ms - TARGET_WINDOW_MS, line.at_ms + TARGET_WINDOW_MS
        )
        if other.number == REQUEST_ANSWERED and other is not line
    ]
    ended = [other for other in nearby if other.text("target") == target]
    failed = [other for other in nearby if target in other.text("failures")]
    findings = [
        f"within {TARGET_WINDOW_MS // 1000} s, {len(ended)} other requests ended at "
        f"{target} and {len(failed)} failed there"
    ]
    kinds = Counter(_failure_kind(other.text("failures"), target) for other in failed)
    findings += [f"{count} times: {kind}" for kind, count in kinds.most_common(3)]
    return findings


def _failure_kind(failures: str, target: str) -> str:
    """The last failure at the target, without its name."""
    parts = [part for part in failures.split("; ") if target in part]
    return parts[-1].replace(target, "it") if parts else failures


def _configuration_findings(line: SavedLogLine, log: SavedLog) -> list[str]:
    versions = [
        other
        for other in log.lines
        if other.number == CONFIGURATION_IN_FORCE and other.node == line.node
    ]
    before = [other for other in versions if other.at_ms <= line.at_ms]
    after = [other for other in versions if other.at_ms > line.at_ms]
    if not before:
        findings = [f"{line.node} knew no configuration"]
    else:
        age_ms = line.at_ms - before[-1].at_ms
        version = before[-1].integer("version")
        findings = [f"version {version} had been in force there for {age_ms} ms"]
    if after:
        wait_ms = after[0].at_ms - line.at_ms
        version = after[0].integer("version")
        findings.append(f"version {version} came {wait_ms} ms later")
    return findings + _store_outage_findings(line, log)


def _lines_between(log: SavedLog, from_ms: int, to_ms: int) -> list[SavedLogLine]:
    return [line for line in log.lines if from_ms <= line.at_ms <= to_ms]
