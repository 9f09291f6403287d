"""Changes by compare-and-swap, and their reported outcome if an answer is lost."""

import dataclasses

import pytest

from burdockhaven_core.configuration import Configuration
from burdockhaven_core.configuration_change import (
    DeleteAccount,
    DeleteTemplate,
    Operation,
    PutAccount,
    PutTemplate,
)
from burdockhaven_core.configuration_parts import INDEX_KEY, PART_PREFIX
from burdockhaven_core.configuration_store import (
    InSync,
    Newer,
    NotSynchronised,
    Unreadable,
    WrittenBack,
    read_history,
    synchronise,
)
from burdockhaven_core.key_value import Put, Transaction
from burdockhaven_core.key_value_failure import FailureKind
from burdockhaven_core.publishing import (
    Accepted,
    Conflict,
    Invalid,
    NotDone,
    NotDoneReason,
    OutcomeUnknown,
    publish,
    resolve,
)
from burdockhaven_standins.key_value_memory import MemoryKeyValue
from burdockhaven_standins.samples import ACCOUNT, TEMPLATE

EMPTY = Configuration()


def operation(change, expected, name="op"):
    return Operation(change, expected, name, operator="ann")


def put_account(name):
    return PutAccount(dataclasses.replace(ACCOUNT, account=name))


def start_publishing(change, local, name="op", highest_version=0):
    return publish(
        operation(change, local.version, name), local, lambda: highest_version
    )


def publish_accounts(service, *names):
    """Publish a template and the named accounts; returns the configuration."""
    local = service.run(
        start_publishing(PutTemplate(TEMPLATE), EMPTY, "t")
    ).configuration
    for name in names:
        outcome = service.run(start_publishing(put_account(name), local, f"put-{name}"))
        local = outcome.configuration
    return local


def run_with_faults(service, steps, faults):
    """Run the steps, injecting the n-th fault into the n-th transaction."""
    remaining = list(faults)
    command = next(steps)
    try:
        while True:
            is_write = isinstance(command, Transaction)
            fault = remaining.pop(0) if is_write and remaining else None
            command = steps.send(inject_fault(service, command, fault))
    except StopIteration as stop:
        return stop.value


def inject_fault(service, command, fault):
    if fault == "answer lost":
        return service.call_and_lose_response(command)
    if fault == "never arrived":
        return service.failure(FailureKind.AMBIGUOUS, command)
    if fault == "not sent":
        return service.failure(FailureKind.NOT_DONE, command)
    return service.call(command)


def test_a_change_is_read_by_another_member():
    service = MemoryKeyValue()
    local = publish_accounts(service, "crew", "port")
    assert local.version == 3
    assert service.run(synchronise(EMPTY)) == Newer(local)
    assert service.run(synchronise(local)) == InSync()


def test_unchanged_parts_are_neither_rewritten_nor_read_again():
    service = MemoryKeyValue()
    local = publish_accounts(service, *(f"account-{n}" for n in range(100)))
    before = {
        key: item.mod_revision
        for key, item in service.items.items()
        if key.startswith(PART_PREFIX)
    }
    outcome = service.run(start_publishing(put_account("another"), local))
    after = {
        key: item.mod_revision
        for key, item in service.items.items()
        if key.startswith(PART_PREFIX)
    }
    assert len(set(after.items()) - set(before.items())) == 1
    service.calls.clear()
    assert service.run(synchronise(local)) == Newer(outcome.configuration)
    assert service.calls == {"Range": 1, "ReadMany": 1}


@pytest.mark.parametrize(
    ("faults", "accepted"),
    [
        ((), True),
        (("answer lost",), True),
        (("never arrived",), True),
        (("answer lost", "never arrived"), True),
        (("answer lost", "not sent"), True),
        (("not sent",), False),
    ],
)
def test_a_lost_answer_is_resolved(faults, accepted):
    service = MemoryKeyValue()
    local = publish_accounts(service)
    outcome = run_with_faults(
        service, start_publishing(put_account("crew"), local), faults
    )
    assert isinstance(outcome, Accepted) == accepted
    now = service.run(synchronise(local))
    assert isinstance(now, Newer) == accepted


def test_a_change_that_lost_the_race_names_the_winner():
    service = MemoryKeyValue()
    local = publish_accounts(service)
    first = start_publishing(put_account("crew"), local, "first")
    second = start_publishing(put_account("port"), local, "second")
    commands = [next(first), next(second)]
    pending = [first.send(service.call(commands[0]))]
    pending.append(second.send(service.call(commands[1])))
    assert all(isinstance(each, Transaction) for each in pending)
    with pytest.raises(StopIteration) as won:
        first.send(service.call(pending[0]))
    assert won.value.value.version == 2
    outcome = run_from(service, second, pending[1])
    assert isinstance(outcome, Conflict)
    assert (outcome.version, outcome.winner.operation_id) == (2, "first")


def run_from(service, steps, command):
    try:
        while True:
            command = steps.send(service.call(command))
    except StopIteration as stop:
        return stop.value


def test_a_lost_answer_of_a_change_that_lost_the_race_is_a_conflict():
    service = MemoryKeyValue()
    local = publish_accounts(service)
    late = start_publishing(put_account("crew"), local, "late")
    transaction = late.send(service.call(next(late)))
    service.run(start_publishing(put_account("port"), local, "early"))
    again = late.send(service.failure(FailureKind.AMBIGUOUS, transaction))
    outcome = run_from(service, late, again)
    assert isinstance(outcome, Conflict)
    assert outcome.winner.operation_id == "early"


def test_a_retried_operation_is_applied_once():
    service = MemoryKeyValue()
    local = publish_accounts(service)
    first = service.run(start_publishing(put_account("crew"), local))
    again = service.run(start_publishing(put_account("crew"), local))
    assert (first.version, again.version) == (2, 2)
    assert service.run(resolve(operation(put_account("crew"), 1))) == Accepted(2, None)
    assert service.run(synchronise(local)).configuration.version == 2


def test_an_outage_in_the_middle_leaves_the_outcome_unknown():
    service = MemoryKeyValue()
    local = publish_accounts(service)
    steps = start_publishing(put_account("crew"), local)
    transaction = steps.send(service.call(next(steps)))
    service.call_and_lose_response(transaction)
    service.down = True
    lost = service.failure(FailureKind.AMBIGUOUS, transaction)
    outcome = run_from(service, steps, steps.send(lost))
    assert isinstance(outcome, OutcomeUnknown)
    service.down = False
    assert service.run(resolve(operation(put_account("crew"), 1))).version == 2


def test_an_operation_is_found_after_many_others():
    service = MemoryKeyValue()
    local = publish_accounts(service, "crew")
    for number in range(40):
        name = f"a{number}"
        local = service.run(
            start_publishing(put_account(name), local, name)
        ).configuration
    found = service.run(resolve(operation(put_account("crew"), 1, "put-crew")))
    assert found == Accepted(2, None)
    lost = service.run(resolve(operation(put_account("crew"), 1, "other")))
    assert lost.winner.operation_id == "put-crew"
    history = service.run(read_history(1, 0)).unwrap()
    assert [record.version for record in history] == list(range(1, 43))


@pytest.mark.parametrize(
    ("highest_version", "reason"),
    [(None, NotDoneReason.NOT_SETTLED), (5, NotDoneReason.BEHIND)],
)
def test_no_change_is_based_on_a_rolled_back_version(highest_version, reason):
    service = MemoryKeyValue()
    local = publish_accounts(service)
    outcome = service.run(
        start_publishing(put_account("crew"), local, highest_version=highest_version)
    )
    assert outcome == NotDone(reason)


def test_the_highest_version_is_checked_again_before_the_write():
    service = MemoryKeyValue()
    local = publish_accounts(service)
    highest_versions = iter([1, 2])
    steps = publish(
        operation(put_account("crew"), 1), local, lambda: next(highest_versions)
    )
    assert service.run(steps) == NotDone(NotDoneReason.BEHIND)


def test_a_newer_version_is_written_back_with_its_history():
    service = MemoryKeyValue()
    publish_accounts(service)
    old = service.snapshot()
    service = MemoryKeyValue()
    local = publish_accounts(service, "crew", "port")
    service.restore(old)
    assert service.run(synchronise(local)) == WrittenBack(1)
    assert service.run(synchronise(EMPTY)) == Newer(local)
    history = service.run(read_history(1, 0)).unwrap()
    assert [record.version for record in history] == [1, 2, 3]


@pytest.mark.parametrize("value", [b"", b"{}", b'{"version":"1"}', b"\xff"])
def test_an_index_that_does_not_parse_changes_nothing(value):
    service = MemoryKeyValue()
    service.call(Transaction((), (Put(INDEX_KEY, value),)))
    found = service.run(synchronise(EMPTY))
    assert isinstance(found, NotSynchronised)
    assert isinstance(found.failure, Unreadable)
    assert service.items[INDEX_KEY].value == value


@pytest.mark.parametrize(
    ("change", "path"),
    [
        (DeleteTemplate("site"), "accounts.crew.template"),
        (DeleteTemplate("none"), "templates"),
        (DeleteAccount("none"), "accounts"),
        (
            PutAccount(dataclasses.replace(ACCOUNT, weight=-1.0)),
            "accounts.crew.weight",
        ),
    ],
)
def test_a_change_with_faults_is_refused(change, path):
    service = MemoryKeyValue()
    local = publish_accounts(service, "crew")
    before = service.snapshot()
    outcome = service.run(start_publishing(change, local))
    assert isinstance(outcome, Invalid)
    assert [fault.path for fault in outcome.faults] == [path]
    assert service.snapshot() == before
