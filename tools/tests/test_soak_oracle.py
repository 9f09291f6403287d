"""Each check of the soak's oracle finds its fault and keeps each excuse."""

import math
from dataclasses import replace

import pytest

from burdockhaven_bench.soak import oracle
from burdockhaven_bench.soak.history import (
    Attempt,
    Configuration,
    Ending,
    Event,
    Execution,
    Fault,
    FaultKind,
    History,
    Process,
    RouteFacts,
    Target,
)
from burdockhaven_standins.platform_targets import EngineCrash, RequestEnd

ROUTES = {
    "plain": RouteFacts(False, False, timeout_s=5.0, max_attempts=1),
    "safe": RouteFacts(True, False, timeout_s=5.0, max_attempts=2),
    "stream": RouteFacts(True, True, timeout_s=15.0, max_attempts=2),
}
KEY = "stable"
# Time of the fault that a history is about, in seconds.
AT_S = 100.0
STOP = Fault(FaultKind.STOP, "p1", AT_S, AT_S + 8)
HANGUP = Fault(FaultKind.HANGUP, "p1", AT_S, AT_S)
ANSWER = (
    ("x-burdockhaven-attempt-id", "a1"),
    ("x-burdockhaven-response-signature", "t1.1"),
)
FIRST = Configuration(1, 0.0, frozenset({KEY, "old"}), dict.fromkeys(ROUTES, "app"))
SECOND = Configuration(
    2, AT_S, frozenset({KEY, "new"}), dict.fromkeys(ROUTES, "app") | {"safe": "other"}
)


def attempt(**changes):
    """A plain request that was answered whole."""
    default = Attempt(
        id="a1",
        request=1,
        route="plain",
        api_key=KEY,
        process="p1",
        connection=1,
        position=1,
        sent_s=AT_S + 1,
        ended_s=AT_S + 1.1,
        ending=Ending.COMPLETE,
        status=200,
        headers=ANSWER,
        body=b"done",
    )
    return replace(default, **changes)


def cut(**changes):
    """A stream that was cut four seconds after it was sent."""
    default = {
        "route": "stream",
        "ended_s": AT_S + 5,
        "ending": Ending.CLOSED,
        "body": b"",
    }
    return attempt(**(default | changes))


def run(**changes):
    """A run that lasted for as long as the cut stream."""
    default = Execution(
        "a1", "t1", "app", "", None, AT_S + 1, AT_S + 5, RequestEnd.DISCONNECTED
    )
    return replace(default, **changes)


def stream(versions, numbers=None, **changes):
    """A stream with events of these versions."""
    numbers = numbers or range(1, len(versions) + 1)
    events = tuple(
        Event(number, version, "t1", changes.get("id", "a1"))
        for number, version in zip(numbers, versions, strict=True)
    )
    default = {"route": "stream", "body": b"", "events": events}
    return attempt(**(default | changes))


def history(attempts, executions=(), faults=(), **changes):
    default = {
        "configurations": (FIRST,),
        "processes": (Process("p1", 0.0, math.inf, None),),
        "targets": (Target("t1", "app", "1", 0.0),),
    }
    return History(
        ROUTES, tuple(attempts), tuple(executions), tuple(faults), **default | changes
    )


def unplanned(kind, subject="p2", at_s=AT_S + 2):
    return Fault(kind, subject, at_s, at_s + 0.5)


# Cuts around a SIGTERM: the attempt, its runs, other faults, and the number of cases.
STOP_HISTORIES = {
    "passed on": (cut(), [run()], [], 1),
    "late, never passed on": (cut(), [], [], 1),
    "within the slack, passed on": (cut(ended_s=AT_S + 1.1), [run()], [], 1),
    "within the slack, not passed on": (cut(ended_s=AT_S + 1.1), [], [], 0),
    "answered": (attempt(), [run()], [], 0),
    "client left": (cut(ending=Ending.LEFT), [run()], [], 0),
    "not sent whole": (cut(ending=Ending.UNSENT, sent_s=None), [], [], 0),
    "target broke off": (cut(), [run(end=RequestEnd.ABORTED)], [], 0),
    "timeout of the route": (
        cut(sent_s=AT_S - 10, ended_s=AT_S + 5.01),
        [run()],
        [],
        0,
    ),
    "deadline of the client": (cut(deadline_s=3.9), [run()], [], 0),
    "deadline in the future": (cut(deadline_s=4.1), [run()], [], 1),
    "at work at the end of the grace": (
        cut(ended_s=AT_S + 7.7),
        [run(ended_s=AT_S + 7.7)],
        [],
        0,
    ),
    "not at work at the end of the grace": (
        cut(ended_s=AT_S + 7.7),
        [run(ended_s=AT_S + 6.5)],
        [],
        1,
    ),
    "at work at the end, sent late": (
        cut(sent_s=AT_S + 3.1, ended_s=AT_S + 7.7),
        [run(ended_s=AT_S + 7.7)],
        [],
        1,
    ),
    "pipelined behind a cut": (cut(is_behind_cut=True), [], [], 0),
    "pipelined behind a cut, passed on": (cut(is_behind_cut=True), [run()], [], 1),
    "process killed": (cut(), [run()], [unplanned(FaultKind.KILL)], 0),
    "process frozen long before": (
        cut(),
        [run()],
        [unplanned(FaultKind.FREEZE, at_s=AT_S - 3)],
        1,
    ),
    "store down, stream": (cut(), [run()], [unplanned(FaultKind.STORE_DOWN)], 0),
    "store down, plain": (
        cut(route="plain"),
        [run()],
        [unplanned(FaultKind.STORE_DOWN)],
        1,
    ),
    "link delayed": (cut(), [run()], [unplanned(FaultKind.LINK_DELAY, "t1")], 0),
    "link in pieces": (cut(), [run()], [unplanned(FaultKind.LINK_PIECES, "t1")], 1),
    "target silent": (cut(), [run()], [unplanned(FaultKind.TARGET_SILENT, "t1")], 1),
    "after the grace": (cut(ended_s=AT_S + 9.1), [run()], [], 0),
    "at another process": (cut(process="p2"), [run()], [], 0),
}


@pytest.mark.parametrize("name", STOP_HISTORIES)
def test_lost_around_stop(name):
    found, runs, faults, cases = STOP_HISTORIES[name]
    verdict = oracle.lost_around_stop(history([found], runs, [STOP, *faults]))
    assert len(verdict.cases) == cases
    assert verdict.is_broken == (cases > 0)


@pytest.mark.parametrize(
    ("sent_s", "faults", "cases"),
    [(1.9, [], 1), (2.1, [], 0), (-5.0, [], 1), (1.9, [STOP], 0)],
    ids=["sent before", "sent later", "sent long before", "stopped too"],
)
def test_lost_around_hangup(sent_s, faults, cases):
    found = cut(sent_s=AT_S + sent_s)
    verdict = oracle.lost_around_hangup(history([found], [run()], [HANGUP, *faults]))
    assert len(verdict.cases) == cases


@pytest.mark.parametrize(
    ("beside", "elsewhere", "changes", "cases"),
    [
        (4, 0, {}, 4),
        (4, 1, {}, 4),
        (4, 2, {}, 0),
        (4, 0, {"deadline_s": 5.0}, 0),
    ],
    ids=["only beside", "over three times", "as often", "most of its time is used"],
)
def test_lost_beside_configuration(beside, elsewhere, changes, cases):
    times = [AT_S + 2.5] * beside + [AT_S + 50] * elsewhere
    others = [attempt(ended_s=AT_S + 2), attempt(ended_s=AT_S + 50)] * 10
    cuts = [cut(sent_s=at_s - 4, ended_s=at_s, **changes) for at_s in times]
    seen = history([*cuts, *others], [run()], configurations=(FIRST, SECOND))
    assert len(oracle.lost_beside_configuration(seen).cases) == cases


@pytest.mark.parametrize(
    ("changes", "end", "faults", "is_broken"),
    [
        ({}, RequestEnd.DISCONNECTED, [], True),
        ({"position": 0}, RequestEnd.DISCONNECTED, [], False),
        ({"status": 200}, RequestEnd.DISCONNECTED, [], False),
        ({}, RequestEnd.ABORTED, [], False),
        ({}, RequestEnd.REJECTED, [], False),
        ({}, RequestEnd.DISCONNECTED, [unplanned(FaultKind.KILL, "p1")], False),
        ({}, RequestEnd.DISCONNECTED, [unplanned(FaultKind.KILL, "p2")], True),
    ],
)
def test_lost_on_kept_connection(changes, end, faults, is_broken):
    found = [cut(**({"status": None} | changes))] * 4
    seen = history(found, [run(end=end)], faults)
    assert oracle.lost_on_kept_connection(seen).is_broken == is_broken
    # Up to three such cuts are allowed.
    assert not oracle.lost_on_kept_connection(
        history(found[:3], [run(end=end)], faults)
    ).is_broken


@pytest.mark.parametrize(
    ("resumed", "going_on", "targets", "is_broken"),
    [(12, 5, 2, True), (12, 6, 2, False), (11, 0, 2, False), (12, 0, 1, False)],
    ids=["too few go on", "half go on", "few resumed", "one target of the version"],
)
def test_lost_resumptions(resumed, going_on, targets, is_broken):
    first = stream("11", id="first", ending=Ending.CLOSED)
    again = [
        stream("1", [3], id=f"a{number}", resumes="first", last_event=2)
        for number in range(resumed)
    ]
    again[going_on:] = [replace(a, status=503, events=()) for a in again[going_on:]]
    serving = tuple(Target(f"t{n}", "llm", "1", 0.0) for n in range(targets))
    seen = history([first, *again], targets=serving)
    assert oracle.lost_resumptions(seen).is_broken == is_broken


# Guards against full engines that count as a fault of the daemons.
def test_streams_resumed_while_engines_are_full_are_no_measure():
    first = stream("11", id="first", ending=Ending.CLOSED)
    refused = [
        attempt(
            id=f"a{number}", route="stream", status=503, resumes="first", last_event=2
        )
        for number in range(12)
    ]
    serving = tuple(Target(f"t{n}", "llm", "1", 0.0) for n in range(2))
    sent_s = refused[0].sent_s
    for at_s, is_broken in ((sent_s - 0.1, False), (sent_s + 0.1, True)):
        full = unplanned(FaultKind.ENGINES_FULL, "t1", at_s)
        seen = history([first, *refused], faults=[full], targets=serving)
        assert oracle.lost_resumptions(seen).is_broken == is_broken


# Guards against a cut that a full or a silent engine would excuse.
def test_full_and_silent_engines_excuse_no_lost_stream():
    runs = [
        run(target="t1", end=RequestEnd.DISCONNECTED),
        run(target="t2", end=RequestEnd.REJECTED),
    ]
    full = unplanned(FaultKind.ENGINES_FULL, "t1", AT_S)
    seen = history([cut()], runs, [STOP, full])
    assert oracle.lost_around_stop(seen).is_broken


def test_targets_of_another_service_do_not_take_up_a_stream():
    first = stream("11", id="first", ending=Ending.CLOSED)
    refused = [
        attempt(
            id=f"a{number}", route="stream", status=503, resumes="first", last_event=2
        )
        for number in range(12)
    ]
    began = Target("t1", "llm", "1", 0.0, ended_s=AT_S)
    for service, is_broken in (("app", False), ("llm", True)):
        others = [Target(f"u{number}", service, "1", 0.0) for number in range(4)]
        seen = history([first, *refused], targets=(began, *others))
        assert oracle.lost_resumptions(seen).is_broken == is_broken


# Times of crashes on a part; the fifth one is known to all members 3 s later.
CRASHES = tuple(EngineCrash("t1", "bad", AT_S - second) for second in (4, 3, 2, 1, 0))
FIFTH_KNOWN_S = AT_S + 3


def with_part(number, sent_s, route="stream", part="bad"):
    """A request with a part on which engines crash."""
    return attempt(
        id=f"bad-{number}",
        request=f"bad-{number}",
        route=route,
        sent_s=sent_s,
        ended_s=sent_s + 0.1,
        status=503,
        parts=("system", part, f"user-{number}"),
    )


def runs_of(found, count=1, arrived_s=None, **changes):
    """Runs of a request that engines broke off."""
    arrived_s = found.sent_s + 0.01 if arrived_s is None else arrived_s
    changes = {"attempt": found.id, "end": RequestEnd.ABORTED} | changes
    return [run(arrived_s=arrived_s, **changes)] * count


# Number of requests, when they were sent after the fifth crash is known, the runs of
# each, when these arrive, the crashes, the faults, and the number of cases.
PART_HISTORIES = {
    "four requests": (4, 0.1, 1, None, CRASHES, [], 4),
    "three requests": (3, 0.1, 1, None, CRASHES, [], 0),
    "two requests, two runs each": (2, 0.1, 2, None, CRASHES, [], 4),
    "sent before, repeated later": (4, -0.1, 2, FIFTH_KNOWN_S + 0.1, CRASHES, [], 4),
    "sent before, arrive later": (4, -0.1, 1, FIFTH_KNOWN_S + 0.1, CRASHES, [], 0),
    "sent before": (4, -0.1, 2, None, CRASHES, [], 0),
    "kept back": (4, 0.1, 0, None, CRASHES, [], 0),
    "four crashes": (4, 0.1, 1, None, CRASHES[:4], [], 0),
    "six crashes": (4, 0.1, 1, None, (CRASHES[0], *CRASHES), [], 4),
    "crashes on another part": (
        4,
        0.1,
        1,
        None,
        tuple(replace(crash, part="other") for crash in CRASHES),
        [],
        0,
    ),
    "two crashes on another part": (
        4,
        0.1,
        1,
        None,
        (*CRASHES[2:], *(replace(crash, part="other") for crash in CRASHES[:2])),
        [],
        0,
    ),
    "process frozen": (
        4,
        0.1,
        1,
        None,
        CRASHES,
        [unplanned(FaultKind.FREEZE, "p1")],
        0,
    ),
    "another process frozen": (
        4,
        0.1,
        1,
        None,
        CRASHES,
        [unplanned(FaultKind.FREEZE, "p2")],
        4,
    ),
}


@pytest.mark.parametrize("name", PART_HISTORIES)
def test_parts_after_crashes(name):
    count, sent_s, runs, arrived_s, crashes, faults, cases = PART_HISTORIES[name]
    found = [with_part(number, FIFTH_KNOWN_S + sent_s) for number in range(count)]
    executions = [r for a in found for r in runs_of(a, runs, arrived_s)]
    seen = history(found, executions, faults, crashes=crashes)
    verdict = oracle.parts_after_crashes(seen)
    assert len(verdict.cases) == cases
    assert verdict.is_broken == (cases > 0)


def test_parts_after_crashes_counts_each_part_for_itself():
    parts = ("bad", "worse")
    found = [
        with_part(f"{part}-{number}", FIFTH_KNOWN_S + 0.1, part=part)
        for part in parts
        for number in range(3)
    ]
    crashes = [replace(crash, part=part) for part in parts for crash in CRASHES]
    executions = [r for a in found for r in runs_of(a)]
    seen = history(found, executions, crashes=tuple(crashes))
    assert not oracle.parts_after_crashes(seen).is_broken
    executions += runs_of(found[0])
    seen = history(found, executions, crashes=tuple(crashes))
    assert [c.subject for c in oracle.parts_after_crashes(seen).cases] == [
        *["bad-bad-0"] * 2,
        "bad-bad-1",
        "bad-bad-2",
    ]


# From here on, sound requests that are like those with the part are compared.
COMPARED_S = AT_S + 6
BEFORE_S = AT_S - 20


def sound_streams(count, begun, sent_s, parts=("system", "doc"), **changes):
    """Sound streams at a time, some of which begin at the first attempt."""
    streams = [
        stream(
            "1",
            id=f"{sent_s}-{parts[0]}-{number}",
            request=f"{sent_s}-{parts[0]}-{number}",
            sent_s=sent_s,
            ended_s=sent_s + 0.1,
            parts=parts,
            **changes,
        )
        for number in range(count)
    ]
    refused = [replace(a, status=503, events=()) for a in streams[begun:]]
    return streams[:begun] + refused


def retried(streams):
    """The same streams, each refused and then begun at the second attempt."""
    first = [replace(a, id=f"{a.id}-1", status=503, events=()) for a in streams]
    return first + streams


OTHER_PARTS = ("other", "doc")
ALIKE_S = COMPARED_S + 1
# Sound streams and whether the check reports them, beside requests with the part up to
# ten seconds after the first time at which requests are compared.
SOUND_HISTORIES = {
    "fewer than half as often": (
        sound_streams(20, 9, ALIKE_S) + sound_streams(20, 20, BEFORE_S),
        True,
    ),
    "half as often": (
        sound_streams(20, 10, ALIKE_S) + sound_streams(20, 20, BEFORE_S),
        False,
    ),
    "all begin seldom": (
        sound_streams(20, 9, ALIKE_S) + sound_streams(20, 18, BEFORE_S),
        False,
    ),
    "begin at the second attempt": (
        retried(sound_streams(20, 20, ALIKE_S)) + sound_streams(20, 20, BEFORE_S),
        True,
    ),
    "others of the same time": (
        sound_streams(20, 0, ALIKE_S)
        + sound_streams(20, 20, ALIKE_S, OTHER_PARTS, api_key="old"),
        True,
    ),
    "same key only": (
        sound_streams(20, 0, ALIKE_S, OTHER_PARTS) + sound_streams(20, 20, BEFORE_S),
        True,
    ),
    "same first part only": (
        sound_streams(20, 0, ALIKE_S, api_key="old") + sound_streams(20, 20, BEFORE_S),
        True,
    ),
    "neither": (
        sound_streams(20, 0, ALIKE_S, OTHER_PARTS, api_key="old")
        + sound_streams(20, 20, BEFORE_S),
        False,
    ),
    "few alike": (
        sound_streams(19, 0, ALIKE_S) + sound_streams(20, 20, BEFORE_S),
        False,
    ),
    "few others": (
        sound_streams(20, 0, ALIKE_S) + sound_streams(19, 19, BEFORE_S),
        False,
    ),
    "soon after the crashes": (
        sound_streams(20, 0, COMPARED_S - 0.1) + sound_streams(20, 20, BEFORE_S),
        False,
    ),
    "after the last request with the part": (
        sound_streams(20, 0, COMPARED_S + 10.1) + sound_streams(20, 20, BEFORE_S),
        False,
    ),
    "during the crashes, no measure": (
        sound_streams(20, 0, ALIKE_S) + sound_streams(20, 20, AT_S - 1),
        False,
    ),
    "of another route": (
        [replace(a, route="safe") for a in sound_streams(20, 0, ALIKE_S)]
        + sound_streams(20, 20, BEFORE_S),
        False,
    ),
    "key that no configuration has": (
        sound_streams(20, 0, ALIKE_S, api_key="gone") + sound_streams(20, 20, BEFORE_S),
        False,
    ),
    "client left before the response": (
        [replace(a, ending=Ending.LEFT) for a in sound_streams(20, 0, ALIKE_S)]
        + sound_streams(20, 20, BEFORE_S),
        False,
    ),
    "at another process that was killed": (
        sound_streams(20, 0, ALIKE_S, process="p2") + sound_streams(20, 20, BEFORE_S),
        False,
    ),
}


@pytest.mark.parametrize("name", SOUND_HISTORIES)
def test_lost_beside_parts(name):
    streams, is_broken = SOUND_HISTORIES[name]
    tainted = [with_part(1, AT_S - 4), with_part(2, COMPARED_S + 10)]
    killed = unplanned(FaultKind.KILL, "p2", ALIKE_S - 1)
    seen = history([*tainted, *streams], [], [killed], crashes=CRASHES)
    assert oracle.lost_beside_parts(seen).is_broken == is_broken


def test_lost_beside_parts_counts_from_the_last_crash_if_there_are_fewer_than_five():
    streams = sound_streams(20, 0, ALIKE_S) + sound_streams(20, 20, BEFORE_S)
    tainted = [with_part(1, AT_S - 4), with_part(2, COMPARED_S + 10)]
    for last_s, is_broken in ((AT_S + 0.9, True), (AT_S + 1.1, False)):
        crashes = (CRASHES[0], replace(CRASHES[0], at_s=last_s))
        seen = history([*tainted, *streams], crashes=crashes)
        assert oracle.lost_beside_parts(seen).is_broken == is_broken
    # A crash after the fifth one does not change the time.
    crashes = (*CRASHES, replace(CRASHES[0], at_s=AT_S + 1.1))
    seen = history([*tainted, *streams], crashes=crashes)
    assert oracle.lost_beside_parts(seen).is_broken


def test_requests_on_which_engines_crash_are_no_measure_of_resumed_streams():
    first = stream("11", id="first", ending=Ending.CLOSED)
    resumed = [
        stream("1", [3], id=f"a{number}", resumes="first", last_event=2)
        for number in range(12)
    ]
    resumed[5:] = [replace(a, status=503, events=()) for a in resumed[5:]]
    tainted = [with_part(number, AT_S + 1) for number in range(3)]
    serving = tuple(Target(f"t{n}", "llm", "1", 0.0) for n in range(2))
    for crashes, is_broken in ((CRASHES, True), ((), False)):
        seen = history([first, *resumed, *tainted], targets=serving, crashes=crashes)
        assert oracle.lost_resumptions(seen).is_broken == is_broken


SECOND_RUN = run(target="t2")
REJECTED = run(target="t2", end=RequestEnd.REJECTED)
ABORTED = run(target="t3", end=RequestEnd.ABORTED)
MANY = [attempt(id=f"m{number}", status=404) for number in range(11)]
ARRIVALS = [run(arrived_s=AT_S + 5.6)] * 4
LEFT = cut(ending=Ending.LEFT)
PAUSE = run(end=RequestEnd.REJECTED, retry_after_s=3.0)
WITHIN_PAUSE = [run(arrived_s=AT_S + second) for second in (2, 3, 3.9)]
SAID = (*ANSWER, ("server-leaving", "1"))
TOLD = attempt(id="told", headers=SAID, head_s=AT_S - 1.1)
DRAINING = (Target("t1", "app", "1", 0.0, draining_s=AT_S - 2),)
ENDED = (Process("p1", 0.0, AT_S + 8, 0),)
FAILED = (Process("p1", 0.0, AT_S + 8, 1),)
MIXED_STREAMS = [stream("12", id=f"m{n}", request=n) for n in range(3)]
# Name of the check, the history, and whether the check reports it.
CASES = {
    "twice": ("run_twice", history([attempt()], [run(), SECOND_RUN]), True),
    "twice, rejected once": (
        "run_twice",
        history([attempt()], [run(), REJECTED]),
        False,
    ),
    "twice, idempotent": (
        "run_twice",
        history([attempt(route="safe")], [run(), SECOND_RUN]),
        False,
    ),
    "refused": ("refused_and_run", history([attempt(status=503)], [run()]), True),
    "refused truly": (
        "refused_and_run",
        history([attempt(status=503)], [REJECTED]),
        False,
    ),
    "failed": ("refused_and_run", history([attempt(status=502)], [run()]), False),
    "unasked": ("unasked_runs", history([], [run()]), True),
    "asked": ("unasked_runs", history([attempt()], [run()]), False),
    "answered": ("mixed_responses", history([attempt()], [run()]), False),
    "no signature": (
        "mixed_responses",
        history([attempt(headers=ANSWER[:1])], [run()]),
        True,
    ),
    "signature of another target": (
        "mixed_responses",
        history([attempt()], [run(target="t2")]),
        True,
    ),
    "another answer": ("mixed_responses", history([attempt(id="a2")], [run()]), True),
    "another body": ("mixed_responses", history([attempt(body=b"do")], [run()]), True),
    "ends within an event": (
        "mixed_responses",
        history([stream("1", body=b"id: 2")], [run()]),
        True,
    ),
    "cut body": ("mixed_responses", history([cut(body=b"do")], [run()]), False),
    "bytes without a request": (
        "mixed_responses",
        history([attempt(unrequested_bytes=b"x")], [run()]),
        True,
    ),
    "event of another request": (
        "mixed_responses",
        history([replace(stream("1"), events=(Event(1, "1", "t1", "a2"),))], [run()]),
        True,
    ),
    "whole stream": (
        "pieces_out_of_order",
        history([stream("111", expected_events=3)]),
        False,
    ),
    "resumed stream": (
        "pieces_out_of_order",
        history([stream("11", [3, 4], last_event=2, expected_events=4)]),
        False,
    ),
    "missing event": ("pieces_out_of_order", history([stream("11", [1, 3])]), True),
    "event twice": ("pieces_out_of_order", history([stream("11", [1, 1])]), True),
    "resumed at the wrong event": (
        "pieces_out_of_order",
        history([stream("1", [1], last_event=2)]),
        True,
    ),
    "ends too early": (
        "pieces_out_of_order",
        history([stream("11", expected_events=3)]),
        True,
    ),
    "cut before its end": (
        "pieces_out_of_order",
        history([stream("11", expected_events=3, ending=Ending.CLOSED)]),
        False,
    ),
    "versions in one answer": ("mixed_versions", history(MIXED_STREAMS), True),
    "two such streams": ("mixed_versions", history(MIXED_STREAMS[:2]), False),
    "versions over tries": (
        "mixed_versions",
        history(
            stream(version, id=f"{version}-{n}", request=n, resumes=resumes)
            for n in range(3)
            for version, resumes in (("1", ""), ("2", "1"))
        ),
        True,
    ),
    "stream that starts anew": (
        "mixed_versions",
        history(
            stream(version, id=f"{version}-{n}", request=n)
            for n in range(3)
            for version in "12"
        ),
        False,
    ),
    "denied": ("denied", history(MANY), True),
    "denied ten times": ("denied", history(MANY[:10]), False),
    "removed key denied": (
        "denied",
        history([replace(a, api_key="gone") for a in MANY]),
        False,
    ),
    "arrivals after leaving": (
        "arrivals_after_leaving",
        history([LEFT], ARRIVALS),
        True,
    ),
    "three arrivals": ("arrivals_after_leaving", history([LEFT], ARRIVALS[1:]), False),
    "arrivals, process stopped": (
        "arrivals_after_leaving",
        history([LEFT], ARRIVALS, [STOP]),
        False,
    ),
    "at work after leaving": (
        "at_work_after_leaving",
        history([LEFT], [run(ended_s=AT_S + 5.6)]),
        True,
    ),
    "ended after leaving": (
        "at_work_after_leaving",
        history([LEFT], [run(ended_s=AT_S + 5.4)]),
        False,
    ),
    "drained": (
        "drained_target",
        history([attempt(sent_s=AT_S + 0.1)], [run()], targets=DRAINING),
        True,
    ),
    "drained a moment ago": (
        "drained_target",
        history([attempt(sent_s=AT_S - 0.1)], [run()], targets=DRAINING),
        False,
    ),
    "drained, store down": (
        "drained_target",
        history(
            [attempt(sent_s=AT_S + 0.1)],
            [run()],
            [unplanned(FaultKind.STORE_DOWN, "store", AT_S - 3)],
            targets=DRAINING,
        ),
        False,
    ),
    "said that it leaves": (
        "target_that_said_it_leaves",
        history([TOLD, attempt()], [run()]),
        True,
    ),
    "said that it leaves, frozen since": (
        "target_that_said_it_leaves",
        history([TOLD, attempt()], [run()], [unplanned(FaultKind.FREEZE, "p1", AT_S)]),
        False,
    ),
    "said that it leaves a moment ago": (
        "target_that_said_it_leaves",
        history([TOLD, attempt(sent_s=AT_S + 0.8)], [run()]),
        False,
    ),
    "said so through another process": (
        "target_that_said_it_leaves",
        history([replace(TOLD, process="p2"), attempt()], [run()]),
        False,
    ),
    "too many runs": (
        "over_max_attempts",
        history([attempt(route="safe")] * 4, [run(), SECOND_RUN, run(target="t3")]),
        True,
    ),
    "one target broke off": (
        "over_max_attempts",
        history([attempt(route="safe")] * 4, [run(), SECOND_RUN, ABORTED]),
        False,
    ),
    "sent within a pause": (
        "sent_within_pause",
        history([attempt()], [PAUSE, *WITHIN_PAUSE]),
        True,
    ),
    "two within a pause": (
        "sent_within_pause",
        history([attempt()], [PAUSE, *WITHIN_PAUSE[:2]]),
        False,
    ),
    "right after the answer": (
        "sent_within_pause",
        history([attempt()], [PAUSE, *[run(arrived_s=AT_S + 1.4)] * 3]),
        False,
    ),
    "after the pause": (
        "sent_within_pause",
        history([attempt()], [PAUSE, *[run(arrived_s=AT_S + 4.1)] * 3]),
        False,
    ),
    "within a pause, frozen since": (
        "sent_within_pause",
        history(
            [attempt()],
            [PAUSE, *WITHIN_PAUSE],
            [unplanned(FaultKind.FREEZE, "p1")],
        ),
        False,
    ),
    "after the crash of the target that asked for the pause": (
        "sent_within_pause",
        history(
            [attempt()],
            [PAUSE, *WITHIN_PAUSE],
            crashes=(EngineCrash("t1", "bad", AT_S + 1.5),),
        ),
        False,
    ),
    "after the crash of another target": (
        "sent_within_pause",
        history(
            [attempt()],
            [PAUSE, *WITHIN_PAUSE],
            crashes=(EngineCrash("t2", "bad", AT_S + 1.5),),
        ),
        True,
    ),
    "stopped": ("process_ends", history([], [], [STOP], processes=ENDED), False),
    "stopped with an error": (
        "process_ends",
        history([], [], [STOP], processes=FAILED),
        True,
    ),
    "ended by itself": ("process_ends", history([], processes=ENDED), True),
    "killed": (
        "process_ends",
        history([], [], [unplanned(FaultKind.KILL, "p1")], processes=FAILED),
        False,
    ),
}


@pytest.mark.parametrize("name", CASES)
def test_check(name):
    check, seen, is_broken = CASES[name]
    assert getattr(oracle, check)(seen).is_broken == is_broken


# Time of sending after the second configuration, the request, and the detail.
CONFIGURATION_CASES = {
    "old key runs": (2.1, {"api_key": "old"}, "app", "ran with old key"),
    "old key runs early": (1.9, {"api_key": "old"}, "app", ""),
    "new key refused": (2.1, {"api_key": "new", "status": 401}, None, "answered 401"),
    "new key refused early": (1.9, {"api_key": "new", "status": 401}, None, ""),
    "old key refused": (2.1, {"api_key": "old", "status": 401}, None, ""),
    "old service": (2.1, {"route": "safe"}, "app", "ran at the old service"),
    "old service early": (1.9, {"route": "safe"}, "app", ""),
    "new service": (2.1, {"route": "safe"}, "other", ""),
}


@pytest.mark.parametrize("name", CONFIGURATION_CASES)
def test_old_configuration(name):
    sent_s, changes, service, detail = CONFIGURATION_CASES[name]
    found = attempt(sent_s=AT_S + sent_s, ended_s=AT_S + sent_s + 0.1, **changes)
    runs = [] if service is None else [run(service=service)]
    for faults, expected in (
        ([], detail),
        ([unplanned(FaultKind.KILL, "p1")], ""),
        ([unplanned(FaultKind.STORE_SLOW, "store", AT_S - 2)], ""),
    ):
        seen = history([found], runs, faults, configurations=(FIRST, SECOND))
        cases = oracle.old_configuration(seen).cases
        assert len(cases) == (1 if expected else 0)
        assert all(expected in case.detail for case in cases)


def test_each_check_is_applied():
    checks = {check.__name__ for check in oracle.CHECKS}
    tested = {check for check, _, _ in CASES.values()} | {
        "lost_around_stop",
        "lost_around_hangup",
        "lost_beside_configuration",
        "lost_on_kept_connection",
        "lost_resumptions",
        "lost_beside_parts",
        "parts_after_crashes",
        "old_configuration",
    }
    assert checks == tested
