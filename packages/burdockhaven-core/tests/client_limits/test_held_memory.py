import pytest

from burdockhaven_core.client_limits import (
    CONNECTION_OVERHEAD_BYTES,
    HeldMemory,
    HoldingKind,
    MemoryBudget,
)

MB = 2**20
BODY = HoldingKind.BODY


@pytest.fixture
def memory():
    return HeldMemory(MemoryBudget.from_memory(300 * MB))


def owners(holdings):
    return [holding.owner for holding in holdings]


def test_nobody_yields_within_the_budget(memory):
    memory.hold("a", BODY, memory.budget.total, 0.0)
    assert memory.take_yielding(1_000.0) == []


# Guards against a crowd that stays shutting out whoever comes next.
def test_holder_of_much_for_long_yields_before_newcomers(memory):
    memory.hold("old", BODY, 40 * MB, 0.0)
    memory.hold("old and small", BODY, 1_000, 0.0)
    memory.hold("new", BODY, memory.budget.total - 30 * MB, 9.0)
    assert owners(memory.take_yielding(10.0)) == ["old"]


def test_holders_yield_down_to_the_relieved_level(memory):
    size = memory.budget.total // 16
    for number in range(17):
        memory.hold(number, BODY, size, float(number))
    assert owners(memory.take_yielding(100.0)) == [0, 1, 2]
    assert memory.take_yielding(100.0) == []


def test_yielding_memory_counts_until_it_is_released(memory):
    first = memory.hold("a", BODY, memory.budget.total, 0.0)
    memory.hold("b", BODY, memory.budget.total // 2, 0.0)
    assert owners(memory.take_yielding(1.0)) == ["a"]
    assert memory.total > memory.budget.total
    memory.resize(first, BODY, 10, 2.0)
    memory.release(first)
    assert memory.total == memory.budget.total // 2
    assert memory.yielding_bytes == 0


# Guards against a request of the largest legal size that is refused for good.
@pytest.mark.parametrize("memory_bytes", [0, 64 * MB, 300 * MB])
def test_single_long_request_is_served_whatever_the_budget(memory_bytes):
    memory = HeldMemory(MemoryBudget.from_memory(memory_bytes))
    size = 2 * memory.budget.total
    holding = memory.hold("a", BODY, size, 0.0)
    assert memory.take_yielding(100.0) == []
    memory.release(holding)
    assert memory.admit_request(size)
    assert not memory.admit_request(size)
    memory.release_request(size)
    assert memory.admit_request(size)


def test_long_requests_leave_room_for_short_ones(memory):
    while memory.admit_request(4 * MB):
        pass
    assert memory.requests_bytes <= memory.budget.long_requests
    while memory.admit_request(1_000):
        pass
    assert memory.requests_bytes <= memory.budget.requests < memory.budget.total


def test_holdings_without_progress_are_stalled_by_kind(memory):
    memory.hold("response", HoldingKind.RESPONSE, 10, 0.0)
    memory.hold("ahead", HoldingKind.READ_AHEAD, 10, 0.0)
    slow = memory.hold("slow", BODY, 10, 0.0)
    memory.resize(slow, BODY, 11, 9.0)
    memory.hold("stopped", BODY, 10, 0.0)
    limits_s = {BODY: 5.0, HoldingKind.RESPONSE: 20.0}
    assert owners(memory.take_stalled(limits_s, 10.0)) == ["stopped"]
    assert memory.take_stalled(limits_s, 10.0) == []


def test_connections_count(memory):
    memory.connections = 3
    assert memory.total == 3 * CONNECTION_OVERHEAD_BYTES
