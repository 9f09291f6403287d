"""Assignment of targets to the members that poll their load."""

from samples import READY_S, entry

from burdockhaven_core.events import MessageArrived
from burdockhaven_core.identity import MemberId
from burdockhaven_core.load_polling import POLLERS_PER_TARGET, targets_to_poll

NOW = READY_S + 1.0


def deliver_heartbeats(receiver, *senders):
    for other in senders:
        state = other.state
        heartbeat = state.membership.heartbeat(
            NOW,
            ready=True,
            draining=False,
            config_version=1,
        )
        sender = MemberId(heartbeat.entry, heartbeat.incarnation)
        receiver.step(MessageArrived(sender, heartbeat), NOW)


def test_a_single_member_polls_all_targets():
    one = entry()
    names = {spec.name for spec in targets_to_poll(one.state, NOW)}
    assert names == {"e1", "e2", "s1"}


def test_each_target_has_a_fixed_number_of_pollers():
    entries = [entry(f"n{number}", str(number)) for number in range(6)]
    for receiver in entries:
        deliver_heartbeats(receiver, *(e for e in entries if e is not receiver))
    polled_targets = [
        spec.name for one in entries for spec in targets_to_poll(one.state, NOW)
    ]
    assert sorted(polled_targets) == sorted(["e1", "e2", "s1"] * POLLERS_PER_TARGET)
