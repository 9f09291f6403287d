"""Fault matrix of a configuration change: each fault at each step.

The reported outcome must match the stored state.
"""

import dataclasses

import pytest

from burdockhaven_core.configuration import Configuration
from burdockhaven_core.configuration_change import Operation, PutAccount, PutTemplate
from burdockhaven_core.configuration_store import synchronise
from burdockhaven_core.key_value_failure import FailureKind
from burdockhaven_core.publishing import (
    Accepted,
    Conflict,
    NotDone,
    OutcomeUnknown,
    publish,
    resolve,
)
from burdockhaven_standins.key_value_memory import MemoryKeyValue
from burdockhaven_standins.samples import ACCOUNT, TEMPLATE

MINE = Operation(PutAccount(ACCOUNT), 1, "mine")
RIVAL = Operation(PutAccount(dataclasses.replace(ACCOUNT, account="rival")), 1, "rival")
# The number of steps of the longest path, which resolves lost answers.
STEPS = range(6)
FAULTS = (
    "not sent",
    "answer lost",
    "never arrived",
    "arrives late",
    "outage before the step",
    "outage after the step",
    "rival before",
    "rival after",
    "rival and answer lost",
    "newer version at a member",
)


class Run:
    """One change with a fault injected at one of its steps."""

    def __init__(self):
        self.service = MemoryKeyValue()
        template = Operation(PutTemplate(TEMPLATE), 0, "template")
        created = self.service.run(publish(template, Configuration(), lambda: 0))
        # A member with the previous version also reads parts.
        self.local = Configuration()
        self.highest_version = created.version
        self.late = []
        self.rival_won = False

    def publish(self, step, fault):
        steps = publish(MINE, self.local, lambda: self.highest_version)
        number = 0
        command = next(steps)
        try:
            while True:
                is_fault_step = number == step
                result = (
                    self.inject_fault(command, fault)
                    if is_fault_step
                    else self.call(command)
                )
                command = steps.send(result)
                number += 1
        except StopIteration as stop:
            return stop.value

    def call(self, command):
        return self.service.call(command)

    def inject_fault(self, command, fault):
        service = self.service
        match fault:
            case "not sent":
                return service.failure(FailureKind.NOT_DONE, command)
            case "answer lost":
                return service.call_and_lose_response(command)
            case "never arrived":
                return service.failure(FailureKind.AMBIGUOUS, command)
            case "arrives late":
                self.late.append(command)
                return service.failure(FailureKind.AMBIGUOUS, command)
            case "outage before the step":
                service.down = True
                return service.call(command)
            case "outage after the step":
                service.call(command)
                service.down = True
                return service.failure(FailureKind.AMBIGUOUS, command)
            case "rival before":
                self.publish_rival()
                return service.call(command)
            case "rival after":
                result = service.call(command)
                self.publish_rival()
                return result
            case "rival and answer lost":
                self.publish_rival()
                return service.call_and_lose_response(command)
            case "newer version at a member":
                self.highest_version = 2
                return service.call(command)

    def publish_rival(self):
        local = self.stored()
        outcome = self.service.run(publish(RIVAL, local, lambda: 0))
        self.rival_won = isinstance(outcome, Accepted)

    def stored(self):
        return self.service.run(synchronise(Configuration())).configuration


@pytest.mark.parametrize("fault", FAULTS)
@pytest.mark.parametrize("step", STEPS)
def test_the_reported_outcome_matches_the_stored_state(step, fault):
    run = Run()
    outcome = run.publish(step, fault)
    run.service.down = False
    for command in run.late:
        run.service.call(command)
    stored = run.stored()
    is_applied = ACCOUNT.account in stored.accounts
    match outcome:
        case Accepted(version=version):
            assert is_applied
            assert version == 2
            assert not run.rival_won
        case Conflict(winner=winner):
            assert not is_applied
            assert winner.operation_id == "rival"
        case NotDone():
            assert not is_applied
        case OutcomeUnknown():
            found = run.service.run(resolve(MINE))
            assert isinstance(found, Accepted) == is_applied
    if run.rival_won:
        assert "rival" in stored.accounts


@pytest.mark.parametrize("fault", FAULTS)
@pytest.mark.parametrize("step", STEPS)
def test_retrying_with_the_same_operation_id_applies_the_change_once(step, fault):
    run = Run()
    run.publish(step, fault)
    run.service.down = False
    run.highest_version = 1
    again = run.service.run(publish(MINE, run.local, lambda: 1))
    for command in run.late:
        run.service.call(command)
    assert isinstance(again, Conflict if run.rival_won else Accepted)
    assert run.stored().version == 2


@pytest.mark.parametrize("step", [0, 1])
def test_a_newer_version_seen_before_the_write_stops_the_change(step):
    run = Run()
    assert isinstance(run.publish(step, "newer version at a member"), NotDone)
