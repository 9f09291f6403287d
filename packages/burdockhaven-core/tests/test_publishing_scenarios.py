"""Publishing scenarios from the operators' point of view."""

import dataclasses

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from burdockhaven_core.configuration import Configuration
from burdockhaven_core.configuration_change import Operation, PutAccount, PutTemplate
from burdockhaven_core.configuration_replica import ConfigurationReplica
from burdockhaven_core.configuration_store import synchronise
from burdockhaven_core.identity import MemberId
from burdockhaven_core.key_value import Transaction
from burdockhaven_core.publishing import Accepted, Conflict, NotDone, publish
from burdockhaven_standins.key_value_memory import MemoryKeyValue
from burdockhaven_standins.samples import ACCOUNT, TEMPLATE

scenarios("features/publishing.feature")


class World:
    """One entry, the key-value service, and the outcomes that operators received."""

    def __init__(self):
        self.service = MemoryKeyValue()
        self.replica = ConfigurationReplica(MemberId("e1", "a"))
        self.outcomes = {}
        self.snapshots = {}

    def start(self, operator, change, version):
        operation = Operation(change, version, f"of-{operator}", operator)
        local = self.replica.configuration
        return publish(operation, local, lambda: self.replica.version)

    def finish(self, operator, steps, command, lose_answer=False):
        try:
            while True:
                lost = lose_answer and isinstance(command, Transaction)
                call = (
                    self.service.call_and_lose_response if lost else self.service.call
                )
                lose_answer = lose_answer and not lost
                command = steps.send(call(command))
        except StopIteration as stop:
            self.outcomes[operator] = stop.value
        configuration = getattr(self.outcomes[operator], "configuration", None)
        if configuration is not None:
            self.replica.apply_if_newer(configuration)
        self.snapshots[self.replica.version] = self.service.snapshot()

    def put_account(self, operator, **faults):
        steps = self.start(operator, account_of(operator), self.replica.version)
        self.finish(operator, steps, next(steps), **faults)


def account_of(operator):
    return PutAccount(dataclasses.replace(ACCOUNT, account=f"of-{operator}"))


@pytest.fixture
def world():
    return World()


@given("a template that was published as version 1")
def published(world):
    steps = world.start("Carol", PutTemplate(TEMPLATE), 0)
    world.finish("Carol", steps, next(steps))


@given("the key-value service is down")
def down(world):
    world.service.down = True


@given("Ann has put an account")
@when("Ann puts an account")
def ann_puts(world):
    world.put_account("Ann")


@when("Ann puts an account and the answer is lost")
def ann_loses_the_answer(world):
    world.put_account("Ann", lose_answer=True)


@when("Ann and Bob both put an account on version 1")
def both_put(world):
    started = {name: world.start(name, account_of(name), 1) for name in ("Ann", "Bob")}
    read = {name: world.service.call(next(steps)) for name, steps in started.items()}
    writes = {name: steps.send(read[name]) for name, steps in started.items()}
    for name, steps in started.items():
        world.finish(name, steps, writes[name])


@when("the key-value service is restored to version 1")
def comes_back(world):
    world.service.restore(world.snapshots[1])


@when("an entry reads the configuration")
def entry_reads(world):
    world.service.run(synchronise(world.replica.configuration))


@then("Ann's change is accepted as version 2")
def accepted(world):
    assert isinstance(world.outcomes["Ann"], Accepted)
    assert world.outcomes["Ann"].version == 2


@then("Bob's change is refused and names Ann's")
def refused(world):
    assert isinstance(world.outcomes["Bob"], Conflict)
    assert world.outcomes["Bob"].winner.operator == "Ann"


@then("Ann's change is not made")
def not_made(world):
    assert isinstance(world.outcomes["Ann"], NotDone)


@then(parsers.parse("version {number:d} is in force"))
def in_force(world, number):
    assert world.replica.version == number


@then(parsers.parse("the key-value service holds version {number:d}"))
def holds(world, number):
    stored = world.service.run(synchronise(Configuration())).configuration
    assert stored.version == number
