"""The rules of the platform as functions over one history.

Each rule returns the cases that it counts. A case is a fault only together with the
number of cases that the rule allows.
"""

import enum
import math
from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass

from burdockhaven_bench.soak.history import (
    LINK_DISRUPTIONS,
    PROCESS_DISRUPTIONS,
    STORE_DISRUPTIONS,
    Attempt,
    Configuration,
    Ending,
    Execution,
    Fault,
    FaultKind,
    History,
)
from burdockhaven_standins.platform_targets import LEAVING, SIGNATURE, RequestEnd

# Bounds that the platform states, in seconds.
STABLE_S = 3.0
GRACE_S = 8.0
LOSS_SLACK_S = 0.2
CONFIG_APPLY_S = 2.0
DRAIN_S = 2.0
# A request counts as planned work's until this long after the grace period, and after
# the time within which a configuration has to be in force.
AFTER_PLANNED_WORK_S = 1.0
# A request sent up to this long after SIGTERM may still run at the end of the grace
# period, of which the last sixth counts.
LATE_REQUEST_S = 3.0
FINAL_PART_OF_GRACE = 1 / 6
# Beside a configuration, cuts count if they are more frequent by this factor; a request
# that has used this part of its time does not count.
CONFIGURATION_CUT_FACTOR = 3.0
USED_PART_OF_TIME = 0.7
# Seconds after a client left within which its request has to end at the targets.
LEFT_S = 0.5
MAX_CUT_KEPT_CONNECTIONS = 3
MAX_MIXED_VERSIONS = 2
MAX_DENIED = 10
MAX_ARRIVALS_AFTER_LEAVING = 3
MAX_OVER_ATTEMPTS = 3
PART_AT_WORK_AFTER_LEAVING = 0.25
# Seconds after which a pause that a target asked for binds the process, and number of
# requests that may still reach the target within it.
PAUSE_SLACK_S = 0.5
MAX_REQUESTS_WITHIN_PAUSE = 2
MIN_RESUMED_STREAMS = 12
MIN_RESUMED_PART = 0.5
MIN_TARGETS_OF_VERSION = 2
# Number of crashes on a part of prompts after which requests with it have to stop, and
# number of them that may still reach engines.
CRASHES_OF_PART = 5
MAX_REQUESTS_WITH_PART = 3
# Sound requests of each group, and the least rate at which those that have something in
# common with requests on which engines crash begin, relative to the others.
MIN_SOUND_REQUESTS = 20
MIN_SOUND_PART = 0.5
# Statuses that state that a request has not run and will not run.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
DENIALS = frozenset({401, 403, 404})


class Rule(enum.Enum):
    """What a case is about."""

    LOST = "LOST"
    TWICE = "TWICE"
    REFUSED = "REFUSED"
    UNASKED = "UNASKED"
    MIXED = "MIXED"
    ORDER = "ORDER"
    CONFIG = "CONFIG"
    DENIED = "DENIED"
    GONE = "GONE"
    DRAIN = "DRAIN"
    BUDGET = "BUDGET"
    EXIT = "EXIT"


@dataclass(frozen=True, slots=True)
class Case:
    """One observation that a rule counts."""

    # Attempt, or process if no attempt is concerned.
    subject: str
    # Time in seconds.
    at_s: float
    detail: str


@dataclass(frozen=True, slots=True)
class Verdict:
    """The result of one check."""

    rule: Rule
    check: str
    cases: tuple[Case, ...]
    # Number of cases up to which the rule holds.
    allowed: int = 0

    @property
    def is_broken(self) -> bool:
        """Whether the rule is broken."""
        return len(self.cases) > self.allowed


Check = Callable[[History], Verdict]


def judge(history: History) -> list[Verdict]:
    """Apply all checks."""
    return [check(history) for check in CHECKS]


def lost_around_stop(history: History) -> Verdict:
    """Requests that were cut around the SIGTERM of the process that read them."""
    executions = history.executions_by_attempt()
    cases = []
    for attempt in _cut_attempts(history):
        for stop in history.faults_of(FaultKind.STOP, subject=attempt.process):
            end_s = stop.started_s + GRACE_S + AFTER_PLANNED_WORK_S
            runs = executions.get(attempt.id, [])
            if not stop.started_s <= attempt.ended_s <= end_s:
                continue
            if _is_lost(history, attempt, runs) and not _ran_to_end_of_grace(
                attempt, runs, stop
            ):
                assert attempt.sent_s is not None
                sent_s = attempt.sent_s - stop.started_s
                cut_s = attempt.ended_s - stop.started_s
                detail = f"sent {sent_s:+.2f} s, cut {cut_s:+.2f} s after SIGTERM"
                cases.append(_case(attempt, runs, detail))
    return Verdict(Rule.LOST, "around SIGTERM", tuple(cases))


def lost_around_hangup(history: History) -> Verdict:
    """Requests that were cut after the SIGHUP of the process that read them."""
    executions = history.executions_by_attempt()
    cases = []
    for attempt in _cut_attempts(history):
        assert attempt.sent_s is not None
        runs = executions.get(attempt.id, [])
        for hangup in history.faults_of(FaultKind.HANGUP, subject=attempt.process):
            is_beside = (
                attempt.sent_s <= hangup.started_s + CONFIG_APPLY_S
                and attempt.ended_s >= hangup.started_s
            )
            if (
                is_beside
                and not _stopped(history, attempt)
                and _is_lost(history, attempt, runs)
            ):
                cases.append(_case(attempt, runs, "beside a SIGHUP"))
    return Verdict(Rule.LOST, "around SIGHUP", tuple(cases))


def lost_beside_configuration(history: History) -> Verdict:
    """Requests that were cut beside a configuration, if more often than otherwise."""
    executions = history.executions_by_attempt()
    windows = [
        (c.acknowledged_s, c.acknowledged_s + CONFIG_APPLY_S + AFTER_PLANNED_WORK_S)
        for c in history.configurations[1:]
    ]

    def is_beside(attempt: Attempt) -> bool:
        return any(start <= attempt.ended_s <= end for start, end in windows)

    totals = {True: 0, False: 0}
    for attempt in history.attempts:
        totals[is_beside(attempt)] += 1
    cases: dict[bool, list[Case]] = {True: [], False: []}
    for attempt in _cut_attempts(history):
        runs = executions.get(attempt.id, [])
        if (
            not _stopped(history, attempt)
            and _used_part_of_time(history, attempt) < USED_PART_OF_TIME
            and _is_lost(history, attempt, runs)
        ):
            case = _case(attempt, runs, "beside a configuration")
            cases[is_beside(attempt)].append(case)
    rate = len(cases[True]) / max(1, totals[True])
    other_rate = len(cases[False]) / max(1, totals[False])
    is_frequent = rate > CONFIGURATION_CUT_FACTOR * other_rate
    return Verdict(
        Rule.LOST,
        "beside a configuration",
        tuple(cases[True]) if is_frequent else (),
    )


def lost_on_kept_connection(history: History) -> Verdict:
    """Kept connections closed after a request was passed on, without any fault."""
    executions = history.executions_by_attempt()
    cases = []
    for attempt in _cut_attempts(history):
        assert attempt.sent_s is not None
        runs = [run for run in executions.get(attempt.id, []) if run.has_run]
        if (
            attempt.position > 0
            and attempt.status is None
            and runs
            and not _is_excused_by_target(runs)
            and not _is_time_over(history, attempt)
            and _is_in_touch(history, attempt.process, attempt.sent_s, attempt.ended_s)
        ):
            cases.append(_case(attempt, runs, "on a kept connection"))
    return Verdict(Rule.LOST, "kept connection", tuple(cases), MAX_CUT_KEPT_CONNECTIONS)


def lost_resumptions(history: History) -> Verdict:
    """Streams that clients took up again, if they go on less often than new ones."""
    resumed: list[Attempt] = []
    new: list[Attempt] = []
    services = {target.id: target.service for target in history.targets}
    origins = {
        attempt.id: {(services.get(e.target), e.version) for e in attempt.events}
        for attempt in history.attempts
    }
    crashing_parts = {crash.part for crash in history.crashes}
    for attempt in history.attempts:
        if (
            not history.routes[attempt.route].is_streaming
            or attempt.sent_s is None
            or not _is_in_touch(
                history, attempt.process, attempt.sent_s, attempt.sent_s
            )
            # Full engines take up no stream.
            or history.is_disrupted(
                (FaultKind.ENGINES_FULL,), attempt.sent_s, attempt.sent_s
            )
        ):
            continue
        if not attempt.resumes:
            if crashing_parts.isdisjoint(attempt.parts):
                new.append(attempt)
        elif _can_go_on(history, origins.get(attempt.resumes, set()), attempt.sent_s):
            resumed.append(attempt)
    failed = [a for a in resumed if not _goes_on(a)]
    part = _part(len(resumed) - len(failed), len(resumed))
    new_part = _part(sum(map(_goes_on, new)), len(new))
    is_broken = (
        len(resumed) >= MIN_RESUMED_STREAMS and part < MIN_RESUMED_PART * new_part
    )
    detail = f"{part:.2f} of the resumed streams go on, {new_part:.2f} of the new ones"
    cases = tuple(_case(a, [], detail) for a in failed) if is_broken else ()
    return Verdict(Rule.LOST, "resumed streams", cases)


def lost_beside_parts(history: History) -> Verdict:
    """Sound requests that begin less often because others like them crash engines.

    A request is like another one if it has the same key or the same first part. It is
    compared while the other ones come, with the requests of the route that are like
    none of them, and with all before the first crash.
    """
    crashing_parts = {crash.part for crash in history.crashes}
    sound = [
        attempt
        for attempt in _first_attempts(history)
        if crashing_parts.isdisjoint(attempt.parts)
    ]
    cases: dict[str, Case] = {}
    for part, crashes in _crashes_by_part(history).items():
        for tainted in _attempts_by_route(history, part):
            alike, others = _split_by_likeness(sound, tainted, crashes)
            failed = [attempt for attempt in alike if not _goes_on(attempt)]
            rate = _part(len(alike) - len(failed), len(alike))
            other_rate = _part(sum(map(_goes_on, others)), len(others))
            if (
                min(len(alike), len(others)) < MIN_SOUND_REQUESTS
                or rate >= MIN_SOUND_PART * other_rate
            ):
                continue
            detail = f"{rate:.2f} of those like {part} begin, {other_rate:.2f} else"
            for attempt in failed:
                cases.setdefault(attempt.id, _case(attempt, [], detail))
    return Verdict(Rule.LOST, "parts", tuple(cases.values()))


def run_twice(history: History) -> Verdict:
    """Requests that ran more than once although their route does not allow it."""
    cases = []
    executions = history.executions_by_attempt()
    for attempt in history.attempts:
        runs = [run for run in executions.get(attempt.id, []) if run.has_run]
        if len(runs) > 1 and not history.routes[attempt.route].is_idempotent:
            cases.append(_case(attempt, runs, f"{len(runs)} runs"))
    return Verdict(Rule.TWICE, "not idempotent", tuple(cases))


def refused_and_run(history: History) -> Verdict:
    """Requests that ran although their response states that they did not."""
    cases = []
    executions = history.executions_by_attempt()
    for attempt in history.attempts:
        runs = [run for run in executions.get(attempt.id, []) if run.has_run]
        if (
            runs
            and attempt.status in NOT_RUN_STATUSES
            and not history.routes[attempt.route].is_idempotent
        ):
            cases.append(_case(attempt, runs, f"answered {attempt.status}"))
    return Verdict(Rule.REFUSED, "not idempotent", tuple(cases))


def unasked_runs(history: History) -> Verdict:
    """Requests at targets that no client sent, or with another client account."""
    ids = {attempt.id for attempt in history.attempts}
    cases = [
        Case(run.attempt, run.arrived_s, f"at {run.target}, sent by no client")
        for run in history.executions
        if run.attempt not in ids
    ]
    return Verdict(Rule.UNASKED, "unknown request", tuple(cases))


def mixed_responses(history: History) -> Verdict:
    """Responses that are not the whole response of the target to this request."""
    executions = history.executions_by_attempt()
    cases = []
    for attempt in history.attempts:
        runs = executions.get(attempt.id, [])
        fault = _mixed_fault(history, attempt, runs)
        if fault:
            cases.append(_case(attempt, runs, fault))
    return Verdict(Rule.MIXED, "response", tuple(cases))


def pieces_out_of_order(history: History) -> Verdict:
    """Streams in which an event is missing or comes twice, or that end too early."""
    cases = []
    for attempt in history.attempts:
        expected = attempt.last_event
        detail = ""
        for event in attempt.events:
            expected += 1
            if event.number != expected:
                detail = f"event {event.number} where {expected} was due"
                break
        is_whole = attempt.ending is Ending.COMPLETE and attempt.status == 200
        if not detail and is_whole and expected < attempt.expected_events:
            detail = f"complete after event {expected} of {attempt.expected_events}"
        if detail:
            cases.append(_case(attempt, [], detail))
    return Verdict(Rule.ORDER, "events", tuple(cases))


def mixed_versions(history: History) -> Verdict:
    """Streams with events of several software versions, over all tries of a client."""
    by_request: dict[int, list[Attempt]] = defaultdict(list)
    for attempt in history.attempts:
        if attempt.events:
            by_request[attempt.request].append(attempt)
    cases = []
    for attempts in by_request.values():
        # A try that does not resume starts the stream anew.
        versions: set[str] = set()
        for attempt in sorted(attempts, key=lambda a: a.ended_s):
            if not attempt.resumes:
                versions = set()
            before, versions = versions, versions | {e.version for e in attempt.events}
            if len(versions) > 1 and len(before) < 2:
                detail = f"events of versions {', '.join(sorted(versions))}"
                if attempt.resumes:
                    detail += f", resumes {attempt.resumes}"
                cases.append(_case(attempt, [], detail))
    return Verdict(Rule.ORDER, "versions", tuple(cases), MAX_MIXED_VERSIONS)


def old_configuration(history: History) -> Verdict:
    """Requests that only an older configuration than those in force allows."""
    executions = history.executions_by_attempt()
    cases = []
    for attempt in history.attempts:
        if attempt.sent_s is None or not history.configurations:
            continue
        in_force = _in_force(history, attempt.sent_s, attempt.ended_s)
        if not _is_in_touch(
            history, attempt.process, attempt.sent_s, attempt.ended_s
        ) or history.is_disrupted(
            STORE_DISRUPTIONS | LINK_DISRUPTIONS,
            attempt.sent_s - CONFIG_APPLY_S - STABLE_S,
            attempt.ended_s,
        ):
            continue
        has_key = [attempt.api_key in c.api_keys for c in in_force]
        services = {c.services[attempt.route] for c in in_force}
        runs = [run for run in executions.get(attempt.id, []) if run.has_run]
        if runs and not any(has_key):
            cases.append(_case(attempt, runs, f"ran with old key {attempt.api_key}"))
        elif attempt.status in DENIALS and all(has_key):
            cases.append(_case(attempt, runs, f"answered {attempt.status}"))
        elif any(run.service not in services for run in runs):
            cases.append(_case(attempt, runs, "ran at the old service"))
    return Verdict(Rule.CONFIG, "old version", tuple(cases))


def denied(history: History) -> Verdict:
    """Requests that were denied although all configurations allow them."""
    always = frozenset.intersection(*(c.api_keys for c in history.configurations))
    cases = [
        _case(attempt, [], f"answered {attempt.status}")
        for attempt in history.attempts
        if attempt.status in DENIALS and attempt.api_key in always
    ]
    return Verdict(Rule.DENIED, "always allowed", tuple(cases), MAX_DENIED)


def arrivals_after_leaving(history: History) -> Verdict:
    """Requests that reached a target well after their client had left."""
    cases = [
        _case(attempt, [run], f"reached {run.target} after the client had left")
        for attempt, runs in _left_attempts(history)
        for run in runs
        if run.arrived_s > attempt.ended_s + LEFT_S
    ]
    return Verdict(Rule.GONE, "arrival", tuple(cases), MAX_ARRIVALS_AFTER_LEAVING)


def at_work_after_leaving(history: History) -> Verdict:
    """Runs that go on well after their client has left, if they are many."""
    lasting = 0
    cases = []
    for attempt, runs in _left_attempts(history):
        limit_s = attempt.ended_s + LEFT_S
        if not history.routes[attempt.route].is_streaming:
            continue
        open_runs = [r for r in runs if r.has_run and r.ended_s > attempt.ended_s]
        lasting += bool(open_runs)
        late = [run for run in open_runs if run.ended_s > limit_s]
        if late:
            cases.append(_case(attempt, late, "still at work"))
    is_broken = len(cases) > PART_AT_WORK_AFTER_LEAVING * lasting
    return Verdict(Rule.GONE, "at work", tuple(cases) if is_broken else ())


def drained_target(history: History) -> Verdict:
    """Requests that reached a target which had left long before they were sent."""
    attempts = {attempt.id: attempt for attempt in history.attempts}
    targets = {target.id: target for target in history.targets}
    cases = []
    for run in history.executions:
        attempt, target = attempts.get(run.attempt), targets.get(run.target)
        if attempt is None or target is None or attempt.sent_s is None:
            continue
        is_late = attempt.sent_s > target.draining_s + DRAIN_S
        if (
            is_late
            and _was_store_stable(history, target.draining_s)
            and _is_in_touch(history, attempt.process, attempt.sent_s, run.arrived_s)
        ):
            late_s = attempt.sent_s - target.draining_s
            detail = f"sent {late_s:.2f} s after {target.id} was draining"
            cases.append(_case(attempt, [run], detail))
    return Verdict(Rule.DRAIN, "store", tuple(cases))


def target_that_said_it_leaves(history: History) -> Verdict:
    """Requests to a target whose leaving the same process had passed on long before."""
    told: dict[tuple[str, str], float] = {}
    for response in history.attempts:
        if response.header(LEAVING) == "1" and response.head_s is not None:
            key = (response.process, _signer(response))
            told[key] = min(told.get(key, math.inf), response.head_s)
    by_id = {attempt.id: attempt for attempt in history.attempts}
    cases = []
    for run in history.executions:
        attempt = by_id.get(run.attempt)
        if attempt is None or attempt.sent_s is None:
            continue
        told_s = told.get((attempt.process, run.target), math.inf)
        if attempt.sent_s <= told_s + DRAIN_S:
            continue
        freezes = history.faults_of(FaultKind.FREEZE, subject=attempt.process)
        if not any(f.overlaps(told_s, run.arrived_s) for f in freezes):
            late_s = attempt.sent_s - told_s
            detail = f"sent {late_s:.2f} s after {run.target} said that it leaves"
            cases.append(_case(attempt, [run], detail))
    return Verdict(Rule.DRAIN, LEAVING, tuple(cases))


def over_max_attempts(history: History) -> Verdict:
    """Requests that ran at more targets than their route allows."""
    executions = history.executions_by_attempt()
    cases = []
    for attempt in history.attempts:
        runs = [
            run
            for run in executions.get(attempt.id, [])
            if run.has_run and run.end is not RequestEnd.ABORTED
        ]
        if len(runs) > history.routes[attempt.route].max_attempts:
            cases.append(_case(attempt, runs, f"{len(runs)} runs"))
    return Verdict(Rule.BUDGET, "max_attempts", tuple(cases), MAX_OVER_ATTEMPTS)


def sent_within_pause(history: History) -> Verdict:
    """Requests that a process sent to a target which had asked it for a pause."""
    processes = {attempt.id: attempt.process for attempt in history.attempts}
    arrivals: dict[tuple[str, str], list[Execution]] = defaultdict(list)
    for run in sorted(history.executions, key=lambda run: run.arrived_s):
        arrivals[processes.get(run.attempt, ""), run.target].append(run)

    def crashes_of(target: str, since_s: float) -> list[float]:
        crashes = [c for c in history.crashes if c.target == target]
        return [crash.at_s for crash in crashes if crash.at_s >= since_s]

    cases: dict[str, Case] = {}
    for (process, target), runs in arrivals.items():
        for rejected in runs:
            if rejected.retry_after_s is None:
                continue
            start_s = rejected.arrived_s + PAUSE_SLACK_S
            end_s = rejected.arrived_s + rejected.retry_after_s
            # A pause ends with the start of the target that asked for it.
            end_s = min([end_s, *crashes_of(target, rejected.arrived_s)])
            early = [run for run in runs if start_s < run.arrived_s < end_s]
            if len(early) <= MAX_REQUESTS_WITHIN_PAUSE or any(
                fault.overlaps(rejected.arrived_s, end_s)
                for fault in history.faults
                if fault.kind in LINK_DISRUPTIONS
                or (fault.kind in PROCESS_DISRUPTIONS and fault.subject == process)
            ):
                continue
            for run in early:
                detail = f"{process} sent {len(early)} within the pause of {target}"
                cases.setdefault(run.attempt, Case(run.attempt, run.arrived_s, detail))
    return Verdict(Rule.BUDGET, "pause", tuple(cases.values()))


def parts_after_crashes(history: History) -> Verdict:
    """Requests that reach engines long after these crashed on a part of their prompt.

    A repeat counts as sent when it arrives.
    """
    executions = history.executions_by_attempt()
    cases: dict[str, list[Case]] = defaultdict(list)
    for part, crashes in _crashes_by_part(history).items():
        if len(crashes) < CRASHES_OF_PART:
            continue
        known_s = crashes[CRASHES_OF_PART - 1] + STABLE_S
        for attempt in history.attempts:
            if part not in attempt.parts or attempt.sent_s is None:
                continue
            for number, run in enumerate(executions.get(attempt.id, [])):
                sent_s = run.arrived_s if number else attempt.sent_s
                if sent_s > known_s and _is_in_touch(
                    history, attempt.process, attempt.sent_s, run.arrived_s
                ):
                    late_s = sent_s - known_s + STABLE_S
                    detail = f"with {part}, sent {late_s:.2f} s after the fifth crash"
                    cases[part].append(_case(attempt, [run], detail))
    found = [c for c in cases.values() if len(c) > MAX_REQUESTS_WITH_PART]
    return Verdict(Rule.BUDGET, "parts", tuple(case for part in found for case in part))


def process_ends(history: History) -> Verdict:
    """Processes that ended by themselves, with an error, or not within the grace."""
    cases = []
    for process in history.processes:
        if process.exit_code is None:
            continue
        stops = history.faults_of(FaultKind.STOP, subject=process.name)
        kills = history.faults_of(FaultKind.KILL, subject=process.name)
        if kills or (stops and process.exit_code == 0):
            continue
        how = "after SIGTERM" if stops else "by itself"
        detail = f"exit code {process.exit_code} {how}"
        cases.append(Case(process.name, process.ended_s, detail))
    return Verdict(Rule.EXIT, "process", tuple(cases))


CHECKS: tuple[Check, ...] = (
    lost_around_stop,
    lost_around_hangup,
    lost_beside_configuration,
    lost_on_kept_connection,
    lost_resumptions,
    lost_beside_parts,
    run_twice,
    refused_and_run,
    unasked_runs,
    mixed_responses,
    pieces_out_of_order,
    mixed_versions,
    old_configuration,
    denied,
    arrivals_after_leaving,
    at_work_after_leaving,
    drained_target,
    target_that_said_it_leaves,
    over_max_attempts,
    sent_within_pause,
    parts_after_crashes,
    process_ends,
)


def _case(attempt: Attempt, runs: Iterable[Execution], detail: str) -> Case:
    at = "".join(f"; {run.target}: {_end_of(run)}" for run in runs)
    text = f"{attempt.route} at {attempt.process}, {attempt.status}: {detail}{at}"
    return Case(attempt.id, attempt.ended_s, text)


def _end_of(run: Execution) -> str:
    return "at work" if run.end is None else run.end.value


def _cut_attempts(history: History) -> Iterator[Attempt]:
    """Whole requests whose connection ended before the response was whole."""
    return (
        attempt
        for attempt in history.attempts
        if attempt.ending is Ending.CLOSED and attempt.sent_s is not None
    )


def _is_lost(history: History, attempt: Attempt, runs: list[Execution]) -> bool:
    """Whether a cut counts: it was passed on or is late, and nothing excuses it."""
    assert attempt.sent_s is not None
    is_late = attempt.ended_s - attempt.sent_s > LOSS_SLACK_S
    if not runs and (attempt.is_behind_cut or not is_late):
        return False
    return not (
        _is_excused_by_target(runs)
        or _is_time_over(history, attempt)
        or _is_disrupted(history, attempt)
    )


def _is_disrupted(history: History, attempt: Attempt) -> bool:
    """Whether unplanned faults excuse a request; those of the store excuse streams."""
    assert attempt.sent_s is not None
    kinds = PROCESS_DISRUPTIONS | LINK_DISRUPTIONS
    if history.routes[attempt.route].is_streaming:
        kinds |= STORE_DISRUPTIONS
    return history.is_disrupted(kinds, attempt.sent_s - STABLE_S, attempt.ended_s)


def _is_excused_by_target(runs: list[Execution]) -> bool:
    return any(run.end is RequestEnd.ABORTED for run in runs)


def _is_time_over(history: History, attempt: Attempt) -> bool:
    return _used_part_of_time(history, attempt) >= 1.0


def _used_part_of_time(history: History, attempt: Attempt) -> float:
    assert attempt.sent_s is not None
    limit_s = history.routes[attempt.route].timeout_s
    if attempt.deadline_s is not None:
        limit_s = min(limit_s, attempt.deadline_s)
    return (attempt.ended_s - attempt.sent_s) / limit_s


def _ran_to_end_of_grace(attempt: Attempt, runs: list[Execution], stop: Fault) -> bool:
    """Whether a run was under way in the last sixth of the grace period."""
    assert attempt.sent_s is not None
    final_s = stop.started_s + GRACE_S * (1 - FINAL_PART_OF_GRACE)
    is_early = attempt.sent_s <= stop.started_s + LATE_REQUEST_S
    return is_early and any(run.has_run and run.ended_s >= final_s for run in runs)


def _stopped(history: History, attempt: Attempt) -> bool:
    """Whether the process had received SIGTERM when the attempt ended."""
    stops = history.faults_of(FaultKind.STOP, subject=attempt.process)
    return any(stop.started_s <= attempt.ended_s for stop in stops)


def _is_in_touch(history: History, process: str, start_s: float, end_s: float) -> bool:
    """Whether a process, the links and the store were undisturbed."""
    started_s = {p.name: p.started_s for p in history.processes}.get(process, -math.inf)
    kinds = (*PROCESS_DISRUPTIONS, FaultKind.STOP)
    faults = history.faults_of(*kinds, subject=process)
    return (
        started_s + STABLE_S <= start_s
        and not any(f.overlaps(start_s - STABLE_S, end_s) for f in faults)
        and not history.is_disrupted(
            STORE_DISRUPTIONS | LINK_DISRUPTIONS, start_s - STABLE_S, end_s
        )
    )


def _was_store_stable(history: History, at_s: float) -> bool:
    kinds = STORE_DISRUPTIONS | LINK_DISRUPTIONS
    return not history.is_disrupted(kinds, at_s - STABLE_S, at_s)


def _crashes_by_part(history: History) -> dict[str, list[float]]:
    """Return the times of the crashes on each part, in order."""
    times: dict[str, list[float]] = defaultdict(list)
    for crash in sorted(history.crashes, key=lambda crash: crash.at_s):
        times[crash.part].append(crash.at_s)
    return times


def _attempts_by_route(history: History, part: str) -> list[list[Attempt]]:
    """Group the attempts whose prompt has a part by route."""
    by_route: dict[str, list[Attempt]] = defaultdict(list)
    for attempt in history.attempts:
        if part in attempt.parts and attempt.sent_s is not None:
            by_route[attempt.route].append(attempt)
    return list(by_route.values())


def _split_by_likeness(
    sound: list[Attempt], tainted: list[Attempt], crashes: list[float]
) -> tuple[list[Attempt], list[Attempt]]:
    """Return sound requests like tainted ones while these come, and others."""
    known_s = crashes[:CRASHES_OF_PART][-1] + 2 * STABLE_S
    until_s = max(_sent_s(attempt) for attempt in tainted)
    keys = {attempt.api_key for attempt in tainted}
    first_parts = {attempt.parts[:1] for attempt in tainted}
    alike: list[Attempt] = []
    others: list[Attempt] = []
    for attempt in sound:
        if attempt.route != tainted[0].route:
            continue
        is_within = known_s <= _sent_s(attempt) <= until_s
        is_alike = attempt.api_key in keys or attempt.parts[:1] in first_parts
        if is_within and is_alike:
            alike.append(attempt)
        elif is_within or _sent_s(attempt) < crashes[0]:
            others.append(attempt)
    return alike, others


def _sent_s(attempt: Attempt) -> float:
    assert attempt.sent_s is not None
    return attempt.sent_s


def _first_attempts(history: History) -> Iterator[Attempt]:
    """First attempts of requests with a valid key, at processes in touch.

    Those whose client left before the response began are left out.
    """
    numbers: set[int] = set()
    for attempt in history.attempts:
        is_first = attempt.request not in numbers
        numbers.add(attempt.request)
        if (
            not is_first
            or attempt.resumes
            or attempt.sent_s is None
            or (attempt.ending is Ending.LEFT and not attempt.events)
        ):
            continue
        in_force = _in_force(history, attempt.sent_s, attempt.ended_s)
        if all(attempt.api_key in c.api_keys for c in in_force) and _is_in_touch(
            history, attempt.process, attempt.sent_s, attempt.sent_s
        ):
            yield attempt


def _goes_on(attempt: Attempt) -> bool:
    return attempt.status == 200 and bool(attempt.events)


def _part(count: int, total: int) -> float:
    return count / total if total else 1.0


def _can_go_on(
    history: History, origins: set[tuple[str | None, str]], at_s: float
) -> bool:
    """Whether two targets of the service and version that began the stream serve."""
    serving = [
        target
        for target in history.targets
        if (target.service, target.version) in origins
        and target.started_s + STABLE_S <= at_s < min(target.draining_s, target.ended_s)
    ]
    return len(serving) >= MIN_TARGETS_OF_VERSION


def _in_force(history: History, start_s: float, end_s: float) -> list[Configuration]:
    """Return the configurations that may be in force between two times."""
    versions = sorted(history.configurations, key=lambda c: c.acknowledged_s)
    replaced_s = [c.acknowledged_s + CONFIG_APPLY_S for c in versions[1:]] + [math.inf]
    return [
        configuration
        for configuration, old_s in zip(versions, replaced_s, strict=True)
        if configuration.acknowledged_s <= end_s and old_s >= start_s
    ]


def _left_attempts(history: History) -> Iterator[tuple[Attempt, list[Execution]]]:
    """Attempts whose client closed the connection, at processes in touch."""
    executions = history.executions_by_attempt()
    for attempt in history.attempts:
        if attempt.ending not in (Ending.LEFT, Ending.ABANDONED):
            continue
        start_s = attempt.ended_s if attempt.sent_s is None else attempt.sent_s
        if _is_in_touch(history, attempt.process, start_s, attempt.ended_s + LEFT_S):
            yield attempt, executions.get(attempt.id, [])


def _signer(attempt: Attempt) -> str:
    """Return the id of the target that signed a response; empty if none."""
    return attempt.header(SIGNATURE).rpartition(".")[0]


def _mixed_fault(history: History, attempt: Attempt, runs: list[Execution]) -> str:
    """Return what is wrong with a response; empty if nothing is."""
    if attempt.unrequested_bytes:
        return "bytes without a request"
    is_success = attempt.status is not None and 200 <= attempt.status < 300
    if not is_success:
        return ""
    if attempt.header("X-Burdockhaven-Attempt-Id") != attempt.id:
        return f"answer to {attempt.header('X-Burdockhaven-Attempt-Id')}"
    if _signer(attempt) not in {run.target for run in runs if run.has_run}:
        return f"signature {attempt.header(SIGNATURE)!r}"
    if any(event.attempt != attempt.id for event in attempt.events):
        return "event of another request"
    if attempt.ending is not Ending.COMPLETE:
        return ""
    if history.routes[attempt.route].is_streaming:
        return "ends within an event" if attempt.body else ""
    return "" if attempt.body == b"done" else "other body"
