"""Stateful fuzzing of the registry through outages of the store, in virtual time.

The oracle is the truth about each target: whether it lives, drains, or has ended, and
what the store holds. The registry hears changes while the store answers, and the whole
list when it returns.
"""

import pytest
from fuzz_settings import FUZZING, SEARCH
from hypothesis import seed
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)
from scheduling_samples import target

from burdockhaven_core.scheduling.target_registry import (
    RETURN_GRACE_S,
    TargetRegistry,
)

IDS = ("i-1", "i-2", "i-3")
ids = st.sampled_from(IDS)
# Seconds after the store's return within which a live target has written its entry.
REGISTERS_WITHIN_S = 2.0
STEP_S = 0.1


class RegistryMachine(RuleBasedStateMachine):
    """Targets start, drain and end; the store goes away, lapses entries, returns."""

    @initialize()
    def begin(self):
        self.now = 0.0
        self.registry = TargetRegistry()
        self.store = {}
        self.away = False
        # When the store came back; long ago at the start.
        self.returned_s = -100.0
        # The newest entry of each start that lives.
        self.alive = {}
        self.drained = set()
        # When a target that ended was last in a store that could be read.
        self.ended_s = {}
        self.births = 0
        for name in IDS:
            self.start(name)

    def start(self, name):
        self.births += 1
        self.alive[name] = target(name, born_ms=self.births, sequence=1)
        self.drained.discard(name)
        self.ended_s.pop(name, None)
        self.write(name)

    def write(self, name):
        if self.away:
            return
        self.store[name] = self.alive[name]
        self.registry.put(self.alive[name])

    def remove(self, name):
        if self.store.pop(name, None) is not None and not self.away:
            self.registry.remove(name, self.now)

    @rule(seconds=st.sampled_from([0.1, 0.5, 2.0, 5.0]))
    def wait(self, seconds):
        for _ in range(round(seconds / STEP_S)):
            self.now += STEP_S
            if not self.away and self.now - self.returned_s >= REGISTERS_WITHIN_S:
                for name in self.alive:
                    if name not in self.store:
                        self.write(name)
            self.registry.expire(self.now)

    @rule(name=ids)
    def heartbeat(self, name):
        if name in self.alive:
            entry = self.alive[name]
            self.alive[name] = target(
                name,
                born_ms=entry.born_ms,
                sequence=entry.sequence + 1,
                draining=entry.draining,
            )
            self.write(name)

    @rule(name=ids)
    def drain(self, name):
        if name in self.alive and not self.away:
            entry = self.alive[name]
            self.alive[name] = target(
                name, born_ms=entry.born_ms, sequence=entry.sequence + 1, draining=True
            )
            self.drained.add(name)
            self.write(name)

    @rule(name=ids)
    def late_write(self, name):
        """A write of before the drain arrives after it."""
        if name in self.alive and not self.away:
            entry = self.alive[name]
            self.registry.put(target(name, born_ms=entry.born_ms, sequence=0))

    @rule(name=ids)
    def end(self, name):
        if name in self.alive:
            del self.alive[name]
            self.drained.discard(name)
            self.ended_s[name] = self.now
            self.remove(name)

    @rule(name=ids)
    def start_again(self, name):
        if name not in self.alive and not self.away:
            self.start(name)

    @precondition(lambda self: not self.away)
    @rule()
    def go_away(self):
        self.away = True
        self.registry.store_lost()

    @precondition(lambda self: self.away)
    @rule(name=ids)
    def lapse(self, name):
        """The lease ends while the target can't renew it."""
        self.store.pop(name, None)

    @precondition(lambda self: self.away)
    @rule()
    def come_back(self):
        self.away = False
        self.returned_s = self.now
        self.registry.store_returned(self.now)
        self.registry.replace(list(self.store.values()), self.now)

    @invariant()
    def a_target_that_lives_is_known(self):
        for name in self.alive:
            if self.alive[name].born_ms <= 3:
                assert name in self.registry.entries, name

    @invariant()
    def one_that_drains_takes_no_work(self):
        for name in self.drained:
            assert not self.registry.takes_work(name), name

    @invariant()
    def one_that_is_missing_after_the_return_is_gone(self):
        steady = not self.away and (
            self.now - self.returned_s > RETURN_GRACE_S + 2 * STEP_S
        )
        for name in IDS:
            if steady and name not in self.store and name not in self.alive:
                assert name not in self.registry.entries, name


TestRegistry = RegistryMachine.TestCase
TestRegistry.settings = FUZZING


def forget_grace(registry, now):
    registry.forgiving_until_s = 0.0


def take_any_write(registry, entry):
    registry.entries[entry.id] = entry
    return True


def never_expire(registry, now):
    return None


DEFENCES = {
    "entries are kept after the store's return": ("store_returned", forget_grace),
    "late writes are told from newer ones": ("put", take_any_write),
    "a second outage gives missing entries time again": (
        "store_lost",
        lambda registry: None,
    ),
    "entries that did not come back are dropped": ("expire", never_expire),
}


@pytest.mark.parametrize("defence", DEFENCES)
def test_the_oracle_finds_a_defence_that_is_taken_out(defence, monkeypatch):
    name, without = DEFENCES[defence]
    monkeypatch.setattr(TargetRegistry, name, without)
    with pytest.raises(AssertionError):
        run_state_machine_as_test(seed(1)(RegistryMachine), settings=SEARCH)
