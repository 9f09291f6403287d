"""Diagnosis of a request from the saved logs of the daemons.

It follows the procedure of docs/OPERATIONS.md: first the log events of the request,
then those that bear on its outcome: the queue, the quota, the target, or the
configuration at that time.
"""

from collections import Counter

import msgspec

from burdockhaven_ctl.saved_log import SavedLog, SavedLogLine

# Numbers of the log events that the diagnosis uses (docs/EVENTS.md).
START = 101
REQUEST_ANSWERED = 306
REQUEST_TURNED_AWAY = 307
CONFIGURATION_IN_FORCE = 401
KEY_VALUE_OUTAGE_BEGIN = 403
KEY_VALUE_OUTAGE_END = 404
QUEUE_HELD = 603
PROMPT_PART_ACCUSED = 701
PROMPT_PART_QUARANTINED = 702
# Failures at the same target within this time of a request's end are related to it.
TARGET_WINDOW_MS = 2_000
# A QUEUE_HELD event within this time before a refusal shows the state of its engines.
QUEUE_WINDOW_MS = 1_500
# Window over which quotas are counted.
QUOTA_WINDOW_MS = 8_000
# Logged as the status if the client disconnected.
STATUS_CLIENT_DISCONNECTED = 0
STATUS_OK = 200
# Logged before the name of the prompt part for which a request was refused.
QUARANTINED_PREFIX = "quarantined part "
# The same before the key of the content.
QUARANTINED_CONTENT_PREFIX = "quarantined content "
# Logged as the origin of a resumed stream if it could not be found.
UNKNOWN_ORIGIN = "unknown"


class Explanation(msgspec.Struct, frozen=True):
    """What the logs show about a request."""

    request: str
    # A description of each attempt, in order.
    tries: tuple[str, ...]
    # Possible causes of the outcome of the last attempt.
    findings: tuple[str, ...]


def explain(request: str, log: SavedLog) -> Explanation | None:
    """Explain a request; return None if no log event names it."""
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
        return f"{line.node}: {where} was refused with status {line.text('status')}"
    description = (
        f"{line.node}: status {line.text('status')} "
        f"after {line.integer('total_ms')} ms, "
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
    if QUARANTINED_PREFIX in line.text("failures"):
        return _quarantine_findings(line, log)
    if QUARANTINED_CONTENT_PREFIX in line.text("failures"):
        return _content_findings(line, log)
    if status == 429:
        return _quota_findings(line, log)
    if status == 503 and line.text("origin") == UNKNOWN_ORIGIN:
        return [
            "no live member knew which software version began the stream of attempt "
            f"{line.text('resumes') or 'unnamed'}"
        ]
    if status == 503 and line.integer("sends") == 0:
        return _queue_findings(line, log) + _store_outage_findings(line, log)
    if status == STATUS_CLIENT_DISCONNECTED:
        disconnected = f"the client disconnected after {line.integer('total_ms')} ms"
        return [disconnected, *_target_findings(line, log)]
    if line.text("failures") or status != STATUS_OK:
        return _target_findings(line, log)
    return ["no failure is logged for this request"]


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
        f"preceding {QUOTA_WINDOW_MS // 1000} s, {tokens} tokens"
    ]
    starts = [o for o in _lines_between(log, since_ms, line.at_ms) if o.number == START]
    if starts:
        nodes = ", ".join(sorted({o.node for o in starts}))
        findings.append(f"{nodes} started in that time: earlier usage is not known")
    return findings


def _queue_findings(line: SavedLogLine, log: SavedLog) -> list[str]:
    nearby = [
        other
        for other in _lines_between(log, line.at_ms - QUEUE_WINDOW_MS, line.at_ms)
        if other.number == QUEUE_HELD
    ]
    if not nearby:
        return ["no member logged a queue at that time: the node used its own broker"]
    queue = nearby[-1]
    return [
        f"{queue.node} had {queue.integer('queued')} requests queued; engines: "
        f"{queue.text('engines')}"
    ]


def _quarantine_findings(line: SavedLogLine, log: SavedLog) -> list[str]:
    """Return which ends of engines led to the quarantine of a prompt part."""
    rest = line.text("failures").rpartition(QUARANTINED_PREFIX)[2]
    part = rest.partition(";")[0].strip()
    earlier = [
        other
        for other in log.lines
        if other.at_ms <= line.at_ms and other.text("part") == part
    ]
    engines = [o.text("source") for o in earlier if o.number == PROMPT_PART_ACCUSED]
    names = ", ".join(engines) or "none is logged"
    findings = [
        f"part {part} of the prompt is quarantined: {len(engines)} engines ended "
        f"before they answered a prompt with it: {names}"
    ]
    quarantines = [o for o in earlier if o.number == PROMPT_PART_QUARANTINED]
    if quarantines:
        last = quarantines[-1]
        findings.append(
            f"{last.node} quarantined it for {last.text('seconds')} s, "
            f"{line.at_ms - last.at_ms} ms before"
        )
    return findings


def _content_findings(line: SavedLogLine, log: SavedLog) -> list[str]:
    """Return which requests with the same content targets ended beneath."""
    content = line.text("content")
    ended = [
        other
        for other in log.lines
        if other.number == REQUEST_ANSWERED
        and other.at_ms <= line.at_ms
        and other.text("content") == content
        and other.integer("sends")
    ]
    names = ", ".join(f"{o.text('request')} at {o.text('target')}" for o in ended)
    return [
        f"content {content} is quarantined: targets ended beneath requests with the "
        f"same path, account and body: {names or 'none is logged'}"
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
    return [f"{line.node} had a store outage: {outage.text('detail')}"]


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
    """Return the last failure at the target, without the name of the target."""
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
        findings = [f"{line.node} had no configuration"]
    else:
        age_ms = line.at_ms - before[-1].at_ms
        version = before[-1].integer("version")
        findings = [f"version {version} had been in force there for {age_ms} ms"]
    if after:
        wait_ms = after[0].at_ms - line.at_ms
        version = after[0].integer("version")
        findings.append(f"version {version} came into force {wait_ms} ms later")
    return findings + _store_outage_findings(line, log)


def _lines_between(log: SavedLog, from_ms: int, to_ms: int) -> list[SavedLogLine]:
    return [line for line in log.lines if from_ms <= line.at_ms <= to_ms]
