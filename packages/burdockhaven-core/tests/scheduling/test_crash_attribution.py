import pytest

from burdockhaven_core.scheduling.accused_part import (
    FORGET_S,
    MAX_QUARANTINE_S,
    QUARANTINE_S,
    PartChangeKind,
)
from burdockhaven_core.scheduling.crash_attribution import (
    BEGIN_SETTLE_S,
    MAX_ACCUSED,
    MAX_ANNOUNCED,
    QUARANTINE_ENDS,
    QUARANTINE_ENDS_IN_DOUBT,
    SAME_CAUSE_S,
    CrashAttribution,
)
from burdockhaven_core.scheduling.peer_messages import AccusedPartNotice

KEY = ("entry-1", 1, 1)


def quarantine(crashes, part="bad", at_s=0.0):
    """Let engines end beneath the part until it is quarantined; returns the time."""
    for number in range(QUARANTINE_ENDS):
        crashes.record_end(f"e{at_s}-{number}", [part], at_s + number)
        crashes.record_begun(["other"], at_s + number + 0.5)
    return at_s + QUARANTINE_ENDS - 1


# Steps are ("end", engine, parts) or ("begun", parts), a second apart.
@pytest.mark.parametrize(
    ("steps", "quarantined"),
    [
        # One part is on all prompts beneath which engines end.
        (
            [
                ("end", "e1", ["all", "bad"]),
                ("begun", ["all"]),
                ("end", "e2", ["all", "bad"]),
                ("begun", ["all"]),
                ("end", "e3", ["all", "bad"]),
                ("begun", ["all"]),
            ],
            ["bad"],
        ),
        # Other prompts wait at the engines that end, too.
        (
            [
                ("end", "e1", ["bad"]),
                ("end", "e1", ["x"]),
                ("begun", ["x"]),
                ("end", "e2", ["bad"]),
                ("end", "e2", ["y"]),
                ("end", "e3", ["x"]),
                ("end", "e3", ["bad"]),
            ],
            ["bad"],
        ),
        # The part is sound: a run with it begins between the ends.
        (
            [
                ("end", "e1", ["x"]),
                ("end", "e2", ["x"]),
                ("begun", ["x"]),
                ("end", "e3", ["x"]),
                ("begun", ["y"]),
            ],
            [],
        ),
        # One engine at fault ends the connections of a session again and again.
        (
            [("begun", ["y"]), *[("end", "e1", ["x"])] * 9, ("begun", ["y"])],
            [],
        ),
        # No run begins anywhere: the engines may be at fault, up to a point.
        ([("end", f"e{n}", ["x"]) for n in range(QUARANTINE_ENDS_IN_DOUBT - 1)], []),
        ([("end", f"e{n}", ["x"]) for n in range(QUARANTINE_ENDS_IN_DOUBT)], ["x"]),
        # Two parts are always together, after one that is on all prompts.
        (
            [
                ("end", "e1", ["all", "bad", "beside"]),
                ("begun", ["y"]),
                ("end", "e2", ["all", "bad", "beside"]),
                ("end", "e3", ["all", "bad", "beside"]),
            ],
            ["bad", "beside"],
        ),
        # The part that is on all prompts does end engines, if others show it.
        (
            [
                ("end", "e1", ["bad", "beside"]),
                ("begun", ["y"]),
                ("end", "e2", ["bad", "beside"]),
                ("end", "e3", ["bad", "beside"]),
                ("end", "e4", ["bad"]),
                ("end", "e5", ["bad"]),
                ("end", "e6", ["bad"]),
            ],
            ["bad", "beside"],
        ),
        # One of them is on another prompt that ends an engine, too.
        (
            [
                ("end", "e1", ["all", "bad", "beside"]),
                ("begun", ["y"]),
                ("end", "e2", ["all", "bad", "beside"]),
                ("end", "e3", ["all", "bad"]),
            ],
            ["bad"],
        ),
        # The part that all requests of a route have begins seldom while engines end.
        (
            [
                ("begun", ["all"]),
                *[("end", f"e{n}", ["all", "bad"]) for n in range(4)],
                ("begun", ["y"]),
                ("end", "e4", ["all", "bad"]),
            ],
            ["bad"],
        ),
        # A part ends engines only since they have another software version.
        (
            [
                ("begun", ["all", "bad"]),
                *[
                    item
                    for n in range(QUARANTINE_ENDS_IN_DOUBT)
                    for item in (("end", f"e{n}", ["all", "bad"]), ("begun", ["all"]))
                ],
            ],
            ["bad"],
        ),
    ],
)
def test_quarantine_by_evidence(steps, quarantined):
    crashes = CrashAttribution()
    for at_s, (kind, *arguments) in enumerate(steps):
        if kind == "end":
            crashes.record_end(*arguments, float(at_s))
        else:
            crashes.record_begun(*arguments, float(at_s))
    assert crashes.quarantined(float(len(steps))) == quarantined


# A lost link ended the runs of one member at all engines, and each end counted.
def test_ends_at_one_moment_count_once():
    crashes = CrashAttribution()
    crashes.record_begun(["y"], 0.0)
    for number in range(6):
        crashes.record_end(f"e{number}", ["all"], 1.0 + number * SAME_CAUSE_S / 10)
        crashes.record_begun(["y"], 1.0)
    assert crashes.accused["all"].ends == 1
    assert not crashes.quarantined(1.1)


def test_quarantined_part_is_tried_by_one_request_at_a_time():
    crashes = CrashAttribution()
    due_s = quarantine(crashes) + QUARANTINE_S
    assert crashes.quarantined_part(["x", "bad"], due_s - 0.1) == "bad"
    assert crashes.must_wait(["bad"], {}, due_s - 0.1)
    assert crashes.quarantined_part(["x", "bad"], due_s) == ""
    assert not crashes.must_wait(["bad"], {}, due_s)
    crashes.begin_trial(KEY, "e9", ["bad"])
    assert crashes.must_wait(["bad"], {KEY: "e9"}, due_s + 0.1)
    assert not crashes.must_wait(["x"], {KEY: "e9"}, due_s + 0.1)
    # The run has ended without showing anything.
    assert not crashes.must_wait(["bad"], {}, due_s + 0.2)


def test_trial_that_ends_its_engine_doubles_the_quarantine():
    crashes = CrashAttribution()
    due_s = quarantine(crashes) + QUARANTINE_S
    crashes.record_end("e9", ["bad"], due_s)
    assert crashes.quarantined(due_s + 2 * QUARANTINE_S - 0.1) == ["bad"]
    assert crashes.quarantined(due_s + 2 * QUARANTINE_S) == []


# Guards against a broker that handles no more ends: the length of a quarantine exceeded
# the range of a float for a part that is tried for eleven days, or by a wrong notice.
def test_length_of_a_quarantine_is_bounded_whatever_their_number():
    crashes = CrashAttribution()
    notice = AccusedPartNotice("bad", 3, 0, 1_000, 1_100)
    crashes.apply_notice(notice, "entry-2", 0.0)
    crashes.record_end("e1", ["bad"], 2.0)
    assert crashes.quarantined(2.0 + MAX_QUARANTINE_S - 0.1) == ["bad"]
    assert crashes.quarantined(2.0 + MAX_QUARANTINE_S) == []


def test_trial_that_begins_acquits_the_part():
    crashes = CrashAttribution()
    due_s = quarantine(crashes) + QUARANTINE_S
    crashes.record_begun(["bad"], due_s)
    assert not crashes.must_wait(["bad"], {KEY: "e9"}, due_s)
    assert not crashes.is_trial(["bad"])
    kinds = [change.kind for change in crashes.take_changes()]
    assert kinds[-2:] == [PartChangeKind.QUARANTINED, PartChangeKind.ACQUITTED]
    assert crashes.take_changes() == []


def test_end_of_a_trial_counts_more():
    crashes = CrashAttribution()
    crashes.record_end("e1", ["bad"], 1.0)
    crashes.record_begun(["y"], 1.5)
    crashes.begin_trial(KEY, "e2", ["bad"])
    crashes.record_end("e2", ["bad"], 2.0)
    assert crashes.quarantined(2.1) == ["bad"]


# The part that all requests of an account have was refused with the one that ends
# engines, because no run with it had begun yet.
def test_requests_with_a_part_that_is_always_beside_the_culprit_show_its_innocence():
    crashes = CrashAttribution()
    for number in range(QUARANTINE_ENDS):
        parts = ["account", "bad"]
        crashes.record_end(f"e{number}", parts, 1.0 + number)
        crashes.record_begun(["y"], 1.5 + number)
    assert crashes.quarantined(4.0) == ["bad"]
    assert crashes.quarantined_part(["account"], 4.0) == ""
    assert not crashes.must_wait(["account"], {}, 4.0)


# Sound prompts that waited at engines which another part ended were blamed for the ends
# of the part that they once were beside.
def test_ends_that_a_quarantined_part_explains_do_not_count_twice():
    crashes = CrashAttribution()
    for number in range(QUARANTINE_ENDS):
        crashes.record_end(f"e{number}", ["account", "bad"], 1.0 + number)
        crashes.record_begun(["y"], 1.5 + number)
    for number in range(QUARANTINE_ENDS - 1):
        crashes.record_end(f"o{number}", ["account", f"s{number}"], 5.0 + number)
    assert crashes.quarantined(7.0) == ["bad"]
    crashes.record_end("o9", ["account"], 8.0)
    assert crashes.quarantined(8.0) == ["account", "bad"]


# Requests that were under way when a part was quarantined accused the parts beside it.
def test_quarantined_part_explains_later_ends():
    crashes = CrashAttribution()
    now = quarantine(crashes)
    for number in range(QUARANTINE_ENDS):
        at_s = now + 0.1 + 0.1 * number
        crashes.record_end(f"late-{number}", ["session", "bad"], at_s)
    assert "session" not in crashes.accused
    assert crashes.quarantined(now + 1.0) == ["bad"]


# A request sent twice had its own session refused with the part that ends engines.
def test_end_of_a_trial_does_not_tell_parts_of_one_prompt_apart():
    crashes = CrashAttribution()
    crashes.record_end("e1", ["all", "bad", "beside"], 1.0)
    crashes.record_begun(["y"], 1.5)
    crashes.begin_trial(KEY, "e2", ["all", "bad", "beside"])
    crashes.record_end("e2", ["all", "bad", "beside"], 2.0)
    assert crashes.quarantined(2.1) == []
    crashes.record_end("e3", ["bad"], 3.0)
    assert crashes.quarantined(3.1) == ["bad"]


# Each end of an engine made all requests of its routes wait for one run.
def test_part_of_runs_that_begin_all_the_time_delays_no_request():
    crashes = CrashAttribution()
    crashes.record_begun(["all"], 0.0)
    crashes.record_end("e1", ["all", "rare"], 1.0)
    crashes.begin_trial(KEY, "e9", ["all", "rare"])
    assert not crashes.must_wait(["all"], {KEY: "e9"}, 1.0)
    assert crashes.must_wait(["all", "rare"], {KEY: "e9"}, 1.0)


def test_evidence_is_bounded_and_forgotten():
    crashes = CrashAttribution()
    quarantine(crashes)
    for number in range(2 * MAX_ACCUSED):
        crashes.record_end(f"e{number}", [f"p{number}"], 3.0 + number / 100)
    assert len(crashes.accused) == MAX_ACCUSED
    assert "bad" in crashes.accused
    assert len(crashes.announced(9.0)) == MAX_ANNOUNCED
    crashes.record_end("e1", ["new"], 10.0 + FORGET_S + QUARANTINE_S)
    assert list(crashes.accused) == ["new"]


def pass_on(sender, receiver, now):
    for notice in sender.announced(now):
        receiver.apply_notice(notice, "entry-1", now)


# A new broker knew no part that ends engines, and granted it engines again.
def test_next_broker_keeps_the_quarantine():
    first, second, third = (CrashAttribution() for _ in range(3))
    now = quarantine(first) + 1.0
    pass_on(first, second, now)
    pass_on(first, second, now + 0.3)
    assert second.quarantined(now + QUARANTINE_S - 1.1) == ["bad"]
    assert second.quarantined(now + QUARANTINE_S) == []
    # A member announces what it was told only once its own broker uses it.
    assert second.announced(now) == ()
    assert second.quarantined_part(["bad"], now) == "bad"
    pass_on(second, third, now)
    assert third.quarantined_part(["bad"], now) == "bad"


def test_next_broker_counts_on_from_the_announced_ends():
    first, second = CrashAttribution(), CrashAttribution()
    first.record_begun(["y"], 0.0)
    first.record_end("e1", ["bad"], 1.0)
    first.record_end("e2", ["bad"], 2.0)
    pass_on(first, second, 2.1)
    second.record_begun(["y"], 2.2)
    second.record_end("e3", ["bad"], 3.0)
    assert second.quarantined(3.1) == ["bad"]


def test_acquittal_reaches_other_members():
    first, second = CrashAttribution(), CrashAttribution()
    now = quarantine(first) + 1.0
    pass_on(first, second, now)
    first.record_begun(["bad"], now + 1.0)
    old = second.announced(now)
    pass_on(first, second, now + 1.1)
    assert second.quarantined(now + 1.1) == []
    # A late heartbeat of another member does not bring the accusation back.
    for notice in old:
        second.apply_notice(notice, "entry-2", now + 1.2)
    assert second.quarantined(now + 1.2) == []


def test_new_evidence_outlives_an_older_acquittal_of_another_member():
    first, second = CrashAttribution(), CrashAttribution()
    first.record_end("e1", ["bad"], 1.0)
    first.record_begun(["bad"], 2.0)
    quarantine(second, at_s=3.0)
    pass_on(first, second, 5.5)
    assert second.quarantined(6.0) == ["bad"]


# An engine sent an event of the prompt that ended it, and this acquitted the part.
@pytest.mark.parametrize(
    ("goes_on_s", "is_acquitted"),
    [(BEGIN_SETTLE_S - 0.1, False), (BEGIN_SETTLE_S + 0.1, True)],
)
def test_run_acquits_once_it_goes_on_after_its_first_event(goes_on_s, is_acquitted):
    crashes = CrashAttribution()
    crashes.record_end("e1", ["bad"], 1.0)
    crashes.record_first_event(KEY, ("bad",), 2.0)
    crashes.settle(2.0 + goes_on_s)
    assert ("bad" not in crashes.accused) is is_acquitted


def test_run_that_completes_acquits_at_once():
    crashes = CrashAttribution()
    crashes.record_end("e1", ["x"], 1.0)
    crashes.record_first_event(KEY, ("x",), 2.0)
    crashes.record_completed(KEY, 2.01)
    assert not crashes.accused
