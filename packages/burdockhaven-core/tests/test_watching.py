"""Targets that a member asks for their load."""

from samples import READY_S, entry

from burdockhaven_core.events import MessageArrived
from burdockhaven_core.identity import MemberId
from burdockhaven_core.watching import WATCHERS, watched_targets

NOW = READY_S + 1.0


def hear(hearer, *speakers):
    for speaker in speakers:
        state = speaker.state
        heartbeat = state.membership.heartbeat(
            NOW,
            ready=True,
            draining=False,
            config_version=1,
        )
        sender = MemberId(heartbeat.entry, heartbeat.incarnation)
        hearer.step(MessageArrived(sender, heartbeat), NOW)


def test_a_member_alone_watches_all():
    one = entry()
    names = {spec.name for spec in watched_targets(one.state, NOW)}
    assert names == {"e1", "e2", "s1"}


def test_each_target_has_its_watchers_among_many():
    entries = [entry(f"n{number}", str(number)) for number in range(6)]
    for hearer in entries:
        hear(hearer, *(e for e in entries if e is not hearer))
    watched = [spec.name for one in entries for spec in watched_targets(one.state, NOW)]
    assert sorted(watched) == sorted(["e1", "e2", "s1"] * WATCHERS)
