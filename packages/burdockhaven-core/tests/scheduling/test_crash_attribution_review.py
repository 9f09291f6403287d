"""Ends of engines that point at the wrong prompt part, or at none."""

import pytest
from scheduling_samples import ME, placement_request, table, target

from burdockhaven_core.scheduling.accused_part import QUARANTINE_S
from burdockhaven_core.scheduling.broker import Broker
from burdockhaven_core.scheduling.crash_attribution import (
    BEGIN_SETTLE_S,
    MAX_ACCUSED,
    MAX_ANNOUNCED,
    QUARANTINE_ENDS,
    QUARANTINE_ENDS_IN_DOUBT,
    RETURN_S,
    CrashAttribution,
)
from burdockhaven_core.scheduling.peer_messages import (
    BrokenPrompt,
    RunEnd,
    RunProgress,
    RunReport,
    RunState,
    RunUpdate,
    Verdict,
)
from burdockhaven_core.scheduling.quotas import QuotaRule


def make_broker(targets=("i-1", "i-2", "i-3"), slots=4, **versions):
    broker = Broker(QuotaRule(8.0, 0.0))
    broker.set_table(table(slots=slots))
    entries = {
        name: target(name, slots=slots, software_version=versions.get(name[2:], ""))
        for name in targets
    }
    broker.set_targets(entries, set())
    return broker


def prompt(number, *parts, **changes):
    named = tuple((part, 100) for part in (*parts, f"own-{number}"))
    return placement_request(number, parts=named, **changes)


def progress(number, end=None, broken=(), sender=ME):
    return RunProgress(sender, (RunUpdate(number, end),), broken)


def accuse(broker, part, at_s=0.0, number=900):
    """Let one engine end beneath a prompt with the part; returns the engine."""
    reply = broker.submit(prompt(number, part), at_s)
    assert reply.verdict is Verdict.GRANTED
    broken = (BrokenPrompt(reply.target, (part,)),)
    broker.apply_progress(progress(number, RunEnd.FAILED, broken), at_s + 0.1)
    return reply.target


# The message with the first event was lost; the report told the broker of it.
def test_first_event_known_from_a_report_acquits():
    broker = make_broker()
    accuse(broker, "x")
    trial = broker.submit(prompt(1, "x"), 0.5)
    report = RunReport(ME, (RunState(1, trial.target, 1_000, 300, True),), ())
    broker.apply_report(report, 0.8)
    broker.crashes.settle(1.0 + BEGIN_SETTLE_S)
    assert not broker.crashes.accused
    assert broker.submit(prompt(2, "x"), 0.9).verdict is Verdict.GRANTED


# The engine that had ended was back and idle, but the request avoids it.
def test_trial_goes_to_the_emptiest_engine_that_the_request_may_use():
    broker = make_broker()
    ended = accuse(broker, "x")
    for number in range(1, 3):
        excluded = (ended,)
        broker.submit(prompt(number, "sound", excluded=excluded), 0.2)
        broker.apply_progress(progress(number), 0.3)
    reply = broker.submit(prompt(9, "x", excluded=(ended,), is_retry=True), 0.5)
    assert reply.verdict is Verdict.GRANTED


def test_trial_goes_to_the_emptiest_engine_of_its_version():
    broker = make_broker(**{"1": "v1", "2": "v2", "3": "v2"})
    broker.submit(prompt(1, "sound", software_version="v1"), 0.0)
    broker.apply_progress(progress(1), 0.1)
    broker.crashes.record_end("e0", ["x"], 0.2)
    reply = broker.submit(prompt(2, "x", software_version="v1"), 0.5)
    assert reply.verdict is Verdict.GRANTED


# A request beneath whose trial an engine is silent waited for its own trial.
def test_replacement_of_a_silent_trial_does_not_wait_for_it():
    broker = make_broker()
    ended = accuse(broker, "x")
    trial = broker.submit(prompt(1, "x", excluded=(ended,)), 0.5)
    other = prompt(2, "x", excluded=(ended, trial.target), is_retry=True)
    assert broker.submit(other, 0.6).verdict is Verdict.QUEUED
    (granted,) = broker.grant_queued(6.0)
    assert granted.reply.number == 2


# Beside each prompt with the bad part waits one with the part that all have; the end of
# its run is reported first.
@pytest.mark.parametrize("victim_first", [True, False])
def test_part_of_all_prompts_beside_the_bad_one_is_not_quarantined(victim_first):
    crashes = CrashAttribution()
    crashes.record_begun(["all"], 0.0)
    for number in range(QUARANTINE_ENDS_IN_DOUBT + 1):
        at_s = 1.0 + number
        prompts = [["all", f"session-{number}"], ["all", "bad"]]
        for parts in prompts if victim_first else reversed(prompts):
            crashes.record_end(f"e{number}", parts, at_s)
            at_s += 0.002
    assert crashes.quarantined(at_s) == ["bad"]


# Acquittals of the parts beside the bad one filled all the places of the heartbeat.
def test_quarantine_is_announced_among_many_acquittals():
    first, second = CrashAttribution(), CrashAttribution()
    for number in range(QUARANTINE_ENDS):
        at_s = float(number)
        first.record_end(f"e{number}", ["bad"], at_s)
        for other in range(MAX_ANNOUNCED):
            first.record_end(f"e{number}", [f"s-{number}-{other}"], at_s)
            first.record_begun([f"s-{number}-{other}"], at_s + 0.3)
    for notice in first.announced(3.0):
        second.apply_notice(notice, "entry-1", 3.0)
    assert second.quarantined(3.0) == ["bad"]


# Later accusations of other parts displaced the one that waits for its trial.
def test_part_with_past_quarantines_is_kept_and_announced():
    crashes = CrashAttribution()
    for number in range(QUARANTINE_ENDS):
        crashes.record_end(f"e{number}", ["bad"], float(number))
        crashes.record_begun(["y"], number + 0.5)
    now = QUARANTINE_ENDS + QUARANTINE_S
    for number in range(2 * MAX_ACCUSED):
        crashes.record_end(f"e-{number}", [f"s-{number}"], now + number)
    now += 2 * MAX_ACCUSED
    assert "bad" in crashes.accused
    assert "bad" in [notice.part for notice in crashes.announced(now)]


# Names of parts come from clients: a heartbeat with long ones is too large to be sent.
def test_long_names_of_parts_do_not_inflate_the_heartbeat():
    crashes = CrashAttribution()
    for number in range(MAX_ANNOUNCED):
        crashes.record_end("e1", [f"{number}" + 8_000 * "x"], 1.0)
    notices = crashes.announced(1.1)
    size = sum(len(notice.part) for notice in notices)
    assert size <= MAX_ANNOUNCED * 64


# A prompt of hundreds of parts: the member reports the first ones only.
def test_part_beyond_those_reported_is_accused():
    broker = make_broker(targets=[f"i-{n}" for n in range(8)])
    sound = [f"p-{n}" for n in range(40)]
    for number in range(QUARANTINE_ENDS):
        at_s = float(number)
        reply = broker.submit(prompt(number, *sound, "bad"), at_s)
        if reply.verdict is not Verdict.GRANTED:
            break
        broken = (BrokenPrompt(reply.target, tuple(sound[:32]), number),)
        broker.apply_progress(progress(number, RunEnd.FAILED, broken), at_s + 0.1)
        broker.submit(prompt(100 + number, *sound), at_s + 0.5)
        broker.apply_progress(progress(100 + number), at_s + 0.6)
        broker.apply_progress(progress(100 + number, RunEnd.COMPLETED), at_s + 0.7)
    assert broker.crashes.quarantined(3.0) == ["bad"]


# Requests that wait for a trial counted as work ahead of sound ones.
def test_requests_that_wait_for_a_trial_delay_no_sound_one():
    broker = make_broker()
    ended = accuse(broker, "x")
    broker.submit(prompt(1, "x", excluded=(ended,)), 0.5)
    for number in range(2, 302):
        broker.submit(prompt(number, "x"), 0.5)
    reply = broker.submit(prompt(999, "sound"), 0.51)
    granted = [a.reply.number for a in broker.grant_queued(0.52)]
    assert reply.verdict is Verdict.GRANTED or 999 in granted


# The part began before, so that any part that never did could explain its ends.
def test_part_that_turned_bad_is_quarantined_beside_a_part_at_one_end():
    crashes = CrashAttribution()
    crashes.record_begun(["bad"], 0.0)
    for number in range(QUARANTINE_ENDS_IN_DOUBT):
        crashes.record_end(f"e{number}", ["bad"], 1.0 + number)
        crashes.record_begun(["y"], 1.5 + number)
    crashes.record_end("e0", ["victim"], 2.0 + QUARANTINE_ENDS_IN_DOUBT)
    assert crashes.quarantined(2.1 + QUARANTINE_ENDS_IN_DOUBT) == ["bad"]


def test_part_that_turned_bad_needs_few_more_ends_beside_one_that_never_began():
    crashes = CrashAttribution()
    crashes.record_begun(["bad"], 0.0)
    for number in range(QUARANTINE_ENDS):
        crashes.record_end(f"e{number}", ["victim"], 1.0 + number)
        crashes.record_end(f"e{number}", ["bad"], 1.0 + number)
    for number in range(QUARANTINE_ENDS, QUARANTINE_ENDS_IN_DOUBT):
        crashes.record_end(f"e{number}", ["bad"], 1.0 + number)
        crashes.record_begun(["y"], 1.5 + number)
    assert "bad" in crashes.quarantined(1.0 + QUARANTINE_ENDS_IN_DOUBT)


def test_evidence_since_an_acquittal_is_announced_after_it():
    first, second = CrashAttribution(), CrashAttribution()
    for number in range(QUARANTINE_ENDS - 1):
        first.record_end(f"e{number}", ["x"], float(number))
        for notice in first.announced(number + 0.1):
            second.apply_notice(notice, "entry-1", number + 0.1)
    first.record_begun(["x"], 3.0)
    first.record_end("e9", ["x"], 4.0)
    for notice in first.announced(4.1):
        second.apply_notice(notice, "entry-1", 4.1)
    assert second.accused["x"].ends == 1


# Two engines that return with the time of their first start: other runs begin there.
def test_part_is_quarantined_though_engines_return_without_a_new_start():
    crashes = CrashAttribution()
    for number in range(4 * QUARANTINE_ENDS_IN_DOUBT):
        at_s = 5.0 * number
        crashes.record_end(f"e{number % 2}", ["all", "bad"], at_s)
        crashes.record_begun(["all"], at_s + 4.0)
    assert "bad" in crashes.accused
    assert crashes.accused["bad"].quarantines


# Guards against prompts that are refused because engines fail whatever they run: a
# single one while others go on, or all that there are.
@pytest.mark.parametrize(("engines", "others_begin"), [(1, True), (2, False)])
def test_ends_of_engines_that_fail_by_themselves_do_not_add_up(engines, others_begin):
    crashes = CrashAttribution()
    for number in range(4 * QUARANTINE_ENDS_IN_DOUBT):
        at_s = 5.0 * number
        crashes.record_end(f"e{number % engines}", ["all", "innocent"], at_s)
        if others_begin:
            crashes.record_begun(["other"], at_s + 4.0)
    assert not crashes.accused["innocent"].quarantines


# Guards against one end that counts as several, because its runs are reported late.
def test_late_reports_of_an_end_do_not_count_as_a_return():
    crashes = CrashAttribution()
    for number in range(QUARANTINE_ENDS_IN_DOUBT):
        at_s = RETURN_S / 2 / QUARANTINE_ENDS_IN_DOUBT * number
        crashes.record_end(f"e{number % 2}", ["all", "innocent"], at_s)
        crashes.record_begun(["other"], at_s + 0.01)
    assert crashes.accused["innocent"].ends == 2
