"""Stateful fuzzing of tier admission against `TierAdmissionFleet.check`."""

from fuzz_settings import FUZZING
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    precondition,
    rule,
)

from burdockhaven_bench.tier_admission_fleet import GROUP, TOP_TIER, TierAdmissionFleet

SLOTS = 4
slots = st.integers(0, SLOTS - 1)


class TierAdmissionMachine(RuleBasedStateMachine):
    """Combines network, store and process faults over a few entry processes."""

    @initialize(seed=st.integers(0, 2**32 - 1))
    def begin(self, seed):
        self.fleet = TierAdmissionFleet(SLOTS, seed)
        self.fleet.advance(5.0)

    @rule(seconds=st.sampled_from([0.05, 0.3, 1.0, 2.5, 10.0]))
    def advance(self, seconds):
        self.fleet.advance(seconds)

    @rule(slot=slots, tier=st.integers(0, TOP_TIER))
    def press(self, slot, tier):
        if slot in self.fleet.processes:
            self.fleet.processes[slot].shedding_tier = tier

    @rule(first=slots, second=slots, both_ways=st.booleans())
    def cut(self, first, second, both_ways):
        self.fleet.blocked_links.add((first, second))
        if both_ways:
            self.fleet.blocked_links.add((second, first))

    @rule(side=st.sets(slots, min_size=1, max_size=SLOTS - 1))
    def split(self, side):
        other_side = set(range(SLOTS)) - side
        self.fleet.blocked_links = {(a, b) for a in side for b in other_side}
        self.fleet.blocked_links |= {(b, a) for a, b in self.fleet.blocked_links}

    @rule(side=st.sets(slots, min_size=1, max_size=SLOTS - 1))
    def isolate(self, side):
        """Partition a side from the others and the store until leases expire."""
        self.split(side)
        self.fleet.kv_blocked_slots = set(side)
        self.fleet.advance(10.0)

    @rule()
    def join_network(self):
        self.fleet.blocked_links.clear()

    @rule(
        loss=st.sampled_from([0.0, 0.1, 0.5]),
        doubling=st.sampled_from([0.0, 0.3]),
        delay_s=st.sampled_from([0.01, 0.5, 3.0, 12.0]),
    )
    def disturb(self, loss, doubling, delay_s):
        self.fleet.loss_rate = loss
        self.fleet.duplication_rate = doubling
        self.fleet.max_delay_s = delay_s

    @rule(slot=slots)
    def pause(self, slot):
        if slot in self.fleet.processes:
            self.fleet.processes[slot].paused = True

    @rule(slot=slots)
    def resume(self, slot):
        if slot in self.fleet.processes:
            self.fleet.processes[slot].paused = False
            self.fleet.check()

    @rule(slot=slots, pressure=st.integers(0, TOP_TIER))
    def restart(self, slot, pressure):
        self.fleet.start(slot)
        self.fleet.processes[slot].shedding_tier = pressure

    @rule(slot=slots)
    def kill(self, slot):
        self.fleet.kill(slot)

    @rule(slot=slots)
    def resign(self, slot):
        self.fleet.resign(slot)

    @rule(keeps_leases=st.booleans())
    def toggle_kv(self, keeps_leases):
        self.fleet.set_kv(not self.fleet.kv_up, keeps_leases)

    @rule(slot=slots)
    def cut_from_kv(self, slot):
        self.fleet.kv_blocked_slots.add(slot)

    @rule()
    def join_kv(self):
        self.fleet.kv_blocked_slots.clear()

    @precondition(lambda self: self.fleet.processes)
    @rule()
    def recover(self):
        """After all faults end, all members admit again and any of them can shed."""
        self.fleet.heal()
        for process in self.fleet.processes.values():
            process.shedding_tier = 0
        self.fleet.advance(40.0)
        first, *_ = running = list(self.fleet.processes.values())
        for process in running:
            assert process.membership.can_admit_lower_tiers(
                process.local_time_s(self.fleet.time_s)
            )
        first.shedding_tier = TOP_TIER
        self.fleet.advance(0.2)
        now = first.local_time_s(self.fleet.time_s)
        assert first.tier_admission.can_shed(GROUP, TOP_TIER, now)


TestTierAdmissionMachine = TierAdmissionMachine.TestCase
TestTierAdmissionMachine.settings = FUZZING
