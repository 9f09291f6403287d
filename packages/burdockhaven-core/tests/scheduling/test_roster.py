from scheduling_samples import ME, hello

from burdockhaven_core.scheduling.roster import (
    BROKER_SILENT_AFTER_S,
    SILENT_AFTER_S,
    Roster,
)

OWN = hello("entry-1", 1, started_ms=5)


def test_the_member_that_has_run_longest_is_asked_first():
    roster = Roster(ME)
    roster.hear(hello("entry-2", started_ms=9), 0.0)
    roster.hear(hello("entry-3", started_ms=1), 0.0)
    assert roster.brokers(0.1, OWN) == ["entry-3", "entry-1", "entry-2"]


def test_silent_draining_and_suspect_members_are_not_asked():
    roster = Roster(ME)
    roster.hear(hello("entry-2", started_ms=1), 0.0)
    roster.hear(hello("entry-3", started_ms=2, draining=True), 1.0)
    roster.hear(hello("entry-4", started_ms=3), 1.0)
    roster.views["entry-4"].suspect_until_s = 2.0
    now = BROKER_SILENT_AFTER_S + 1.0
    roster.hear(hello("entry-5", started_ms=7), now)
    assert roster.brokers(now, OWN) == ["entry-1", "entry-5"]


def test_clients_are_not_sent_to_silent_or_draining_members():
    roster = Roster(ME)
    roster.hear(hello("entry-2"), 0.0)
    roster.hear(hello("entry-3"), 1.0)
    roster.hear(hello("entry-4", draining=True), 1.0)
    roster.hear(hello("entry-5", ready=False), 1.0)
    found = roster.serving(SILENT_AFTER_S + 0.5)
    assert [view.hello.name.node for view in found] == ["entry-3"]


def test_a_restart_is_known_and_an_older_start_is_not_taken_for_it():
    roster = Roster(ME)
    assert roster.hear(hello(boot=1, started_ms=1), 0.0)
    assert roster.hear(hello(boot=2, started_ms=5), 1.0)
    assert not roster.hear(hello(boot=1, started_ms=1), 2.0)
    assert roster.views["entry-2"].hello.name.boot == 2


def test_an_older_message_does_not_replace_a_newer_one():
    roster = Roster(ME)
    roster.hear(hello(sequence=5, draining=True), 0.0)
    roster.hear(hello(sequence=4), 0.1)
    assert roster.views["entry-2"].hello.draining


def test_a_minority_that_is_cut_off_keeps_to_its_part_of_the_quotas():
    roster = Roster(ME)
    for number in range(2, 10):
        roster.hear(hello(f"entry-{number}"), 0.0)
    assert roster.quota_share(0.1) == 1.0
    roster.hear(hello("entry-2", sequence=2), 5.0)
    assert roster.quota_share(5.0) == 2 / 9


def test_a_member_out_of_step_with_the_store_is_asked_last():
    """It granted a target that had drained two seconds before."""
    roster = Roster(ME)
    roster.hear(hello("entry-2", started_ms=1, in_step=False), 0.0)
    roster.hear(hello("entry-3", started_ms=9), 0.0)
    assert roster.brokers(0.1, OWN) == ["entry-1", "entry-3", "entry-2"]
