"""Evidence against prompt parts that outlasts the end of all brokers."""

import pytest

from burdockhaven_core.scheduling.accused_part import MAX_NAME, QUARANTINE_S
from burdockhaven_core.scheduling.crash_attribution import (
    MAX_RECORDED,
    QUARANTINE_ENDS,
    QUARANTINE_ENDS_IN_DOUBT,
    RECENTLY_BEGUN_S,
    CrashAttribution,
)

KEY = ("entry-1", 1, 1)


def end(crashes, engine, *parts, at_s):
    """Let an engine end beneath a prompt while others are answered."""
    crashes.record_end(engine, ["all", *parts], at_s)
    crashes.record_begun(["all"], at_s + 0.4)


def restarted(crashes, now):
    """Return a broker that has only read what this one has recorded."""
    later = CrashAttribution()
    for evidence in crashes.recordable(now):
        later.restore(evidence, "store", now)
    return later


def recorded(crashes, now):
    return [evidence.part for evidence in crashes.recordable(now)]


# Guards against BUDGET: a kill of all members after each end, or after each second one,
# before anything is proven, let every one of them find the part anew.
@pytest.mark.parametrize("ends_by_life", [1, 2])
def test_ends_add_up_over_kills_of_all_brokers(ends_by_life):
    crashes = CrashAttribution()
    now = 0.0
    for number in range(QUARANTINE_ENDS):
        end(crashes, f"e{number}", "bad", at_s=now)
        now += 1.0
        if number % ends_by_life == ends_by_life - 1:
            crashes = restarted(crashes, now)
            crashes.record_begun(["all"], now)
    assert crashes.quarantined(now) == ["bad"]


# Guards against BUDGET: quarantines that begin with the shortest one after each kill.
def test_quarantines_double_over_kills_of_all_brokers():
    crashes = CrashAttribution()
    for number in range(QUARANTINE_ENDS):
        end(crashes, f"e{number}", "bad", at_s=float(number))
    due_s = QUARANTINE_ENDS - 1 + QUARANTINE_S
    for number in range(3):
        crashes = restarted(crashes, due_s - 1.0)
        assert crashes.quarantined(due_s - 0.1) == ["bad"]
        assert crashes.quarantined(due_s) == []
        assert crashes.is_trial(["all", "bad"])
        crashes.begin_trial(KEY, f"f{number}", ["all", "bad"])
        end(crashes, f"f{number}", "bad", at_s=due_s)
        due_s += QUARANTINE_S * 2 ** (number + 1)
    assert crashes.quarantined(due_s - 0.1) == ["bad"]


# Guards against a part that is never tried again after it was repaired.
def test_repaired_part_is_tried_once_its_quarantine_ends_and_leaves_the_records():
    crashes = CrashAttribution()
    for number in range(QUARANTINE_ENDS):
        end(crashes, f"e{number}", "bad", at_s=float(number))
    due_s = QUARANTINE_ENDS - 1 + QUARANTINE_S
    later = restarted(crashes, 5.0)
    assert not later.must_wait(["bad"], {}, due_s)
    later.record_begun(["bad"], due_s)
    assert recorded(later, due_s) == []
    # A record that comes back, with an older copy of the store, changes nothing.
    for evidence in crashes.recordable(5.0):
        later.restore(evidence, "store", due_s + 20.0)
    assert not later.accused


# Guards against LOST: a record must not keep sound prompts from engines.
def test_evidence_that_may_be_due_to_the_engines_is_not_recorded():
    crashes = CrashAttribution()
    for number in range(QUARANTINE_ENDS_IN_DOUBT - 1):
        crashes.record_end(f"e{number}", ["all", "s1"], float(number))
    assert recorded(crashes, 5.0) == []


def test_part_that_was_answered_before_is_recorded_only_in_quarantine():
    crashes = CrashAttribution()
    crashes.record_begun(["all", "turned-bad"], 0.0)
    for number in range(QUARANTINE_ENDS_IN_DOUBT):
        now = float(number)
        assert recorded(crashes, now) == []
        end(crashes, f"e{number}", "turned-bad", at_s=now)
    assert recorded(crashes, 5.0) == ["turned-bad"]


# After a start of all, engines end for other reasons beneath prompts that share the
# account's part with the bad ones, or waited at the same engines.
def test_engine_that_ends_for_another_reason_accuses_no_sound_part_by_a_record():
    crashes = CrashAttribution()
    for number in range(2):
        crashes.record_end(f"e{number}", ["all", "s1"], number - 0.1)
        end(crashes, f"e{number}", "bad", "beside", at_s=float(number))
    crashes.record_begun(["all", "s1"], 2.0)
    assert recorded(crashes, 2.0) == ["bad", "beside"]
    later = restarted(crashes, 2.0)
    later.record_begun(["other"], 3.0)
    later.record_end("e5", ["all", "s1"], 4.0)
    later.record_end("e6", ["all", "s2"], 5.0)
    assert later.quarantined(5.0) == []
    assert not later.must_wait(["new"], {}, 5.0)


# Guards against sound parts that keep, after a start of all, the ends that the bad part
# beside them explains.
def test_quarantined_part_explains_the_recorded_ends_beside_it():
    crashes = CrashAttribution()
    end(crashes, "e0", "bad", "beside", at_s=0.0)
    end(crashes, "e1", "bad", "beside", at_s=1.0)
    later = restarted(crashes, 2.0)
    later.record_begun(["all"], 2.5)
    end(later, "e2", "bad", at_s=3.0)
    assert later.quarantined(3.5) == ["bad"]
    assert recorded(later, 3.5) == ["bad"]


def test_recorded_evidence_is_bounded_and_quarantines_go_first():
    crashes = CrashAttribution()
    for number in range(QUARANTINE_ENDS):
        end(crashes, f"e{number}", "bad", at_s=float(number))
    for number in range(2 * MAX_RECORDED):
        end(crashes, f"x{number}", f"s{number}", at_s=5.0 + number)
    end(crashes, "y", "x" * (MAX_NAME + 1), at_s=200.0)
    names = recorded(crashes, 201.0)
    assert len(names) == MAX_RECORDED
    assert names[0] == "bad"
    assert max(map(len, names)) <= MAX_NAME


# Guards against BUDGET: all members are killed right after each end, before another run
# has begun.
def test_end_beside_runs_that_began_just_before_is_recorded_at_once():
    crashes = CrashAttribution()
    for number in range(QUARANTINE_ENDS):
        now = 10.0 * number
        crashes.record_begun(["all"], now + 1.0)
        crashes.record_end(f"e{number}", ["all", "bad"], now + 2.0)
        crashes = restarted(crashes, now + 2.1)
    assert crashes.quarantined(now + 2.1) == ["bad"]


def test_end_long_after_the_last_run_that_began_is_not_recorded():
    crashes = CrashAttribution()
    crashes.record_begun(["all"], 0.0)
    crashes.record_end("e1", ["other", "bad"], RECENTLY_BEGUN_S + 0.1)
    assert recorded(crashes, RECENTLY_BEGUN_S + 0.2) == []
