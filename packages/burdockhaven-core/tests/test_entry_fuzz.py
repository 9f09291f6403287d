"""Stateful fuzzing of a fleet of entries, checked by the oracle."""

import dataclasses

from fuzz_settings import FUZZING
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule
from samples import ENGINES, LOOKUP, REVIEW, SIGN_OFF, configuration

from burdockhaven_bench.entry_fleet import DispatchResult, EntryFleet
from burdockhaven_core.configuration import ClassSpec
from burdockhaven_core.identity import ClassName

SLOTS = 3
URGENT = ClassName("urgent")
CLASSES = (REVIEW, LOOKUP, URGENT, SIGN_OFF)
slots = st.integers(0, SLOTS - 1)


def tiered_configuration():
    """Three tiers on the engines, with deadlines short enough to be missed."""
    base = configuration(slots=2)
    (template,) = base.templates.values()
    classes = (
        ClassSpec(REVIEW, ENGINES, 0, 20_000),
        ClassSpec(LOOKUP, ENGINES, 1, 6_000),
        ClassSpec(URGENT, ENGINES, 2, 4_000),
        template.classes[-1],
    )
    template = dataclasses.replace(template, classes=classes)
    return dataclasses.replace(base, templates={template.name: template})


class EntryMachine(RuleBasedStateMachine):
    """Requests, duplicates and faults in random order over a few entries."""

    @initialize(seed=st.integers(0, 2**32 - 1))
    def begin(self, seed):
        self.fleet = EntryFleet(SLOTS, seed, tiered_configuration())
        self.fleet.advance(8.0)

    @rule(seconds=st.sampled_from([0.05, 0.3, 1.0, 4.0, 10.0]))
    def advance(self, seconds):
        self.fleet.advance(seconds)

    @rule(slot=slots, kind=st.sampled_from(CLASSES), number=st.sampled_from([1, 3, 15]))
    def request(self, slot, kind, number):
        for _ in range(number):
            self.fleet.look_up_and_send(slot, kind)

    @rule(pick=st.integers(0, 30), slot=slots, at_owner=st.booleans())
    def copy(self, pick, slot, at_owner):
        for request in self.fleet.assigned_requests[-1 - pick :][:1]:
            self.fleet.send(request, request.slot if at_owner else slot)

    @rule(pick=st.integers(0, 30), slot=slots)
    def ask_again(self, pick, slot):
        for request in self.fleet.assigned_requests[-1 - pick :][:1]:
            self.fleet.resume_request(request, slot)

    @rule(pick=st.integers(0, 30))
    def hang_up(self, pick):
        for handle in list(self.fleet.slot_by_handle)[-1 - pick :][:1]:
            self.fleet.disconnect_caller(handle)

    @rule(
        fate=st.sampled_from(list(DispatchResult)),
        share=st.sampled_from([0.0, 0.3, 1.0]),
    )
    def fail_dispatches(self, fate, share):
        self.fleet.result_shares = {fate: share}

    @rule(side=st.sets(slots, min_size=1, max_size=SLOTS - 1), from_kv=st.booleans())
    def split(self, side, from_kv):
        self.fleet.split(side, from_kv)

    @rule(first=slots, second=slots)
    def cut_one_way(self, first, second):
        self.fleet.blocked_links.add((first, second))

    @rule(
        loss=st.sampled_from([0.0, 0.1, 0.5]),
        doubling=st.sampled_from([0.0, 0.3]),
        delay_s=st.sampled_from([0.01, 0.5, 12.0]),
    )
    def disturb(self, loss, doubling, delay_s):
        self.fleet.loss_rate = loss
        self.fleet.duplication_rate = doubling
        self.fleet.max_delay_s = delay_s

    @rule(slot=slots)
    def pause(self, slot):
        self.fleet.pause(slot)

    @rule(slot=slots)
    def resume(self, slot):
        self.fleet.resume(slot)

    @rule(slot=slots)
    def restart(self, slot):
        self.fleet.start(slot)

    @rule(slot=slots)
    def kill(self, slot):
        self.fleet.kill(slot)

    @rule(slot=slots)
    def stop(self, slot):
        self.fleet.stop(slot)

    @rule(up=st.booleans(), keeps_leases=st.booleans())
    def set_kv(self, up, keeps_leases):
        self.fleet.set_kv(up, keeps_leases)

    @rule()
    def recover(self):
        """Once all faults have ended, every request at a live entry is answered."""
        self.fleet.heal()
        self.fleet.advance(45.0)
        assert self.fleet.unanswered_handles() == []


TestEntryMachine = EntryMachine.TestCase
TestEntryMachine.settings = FUZZING
