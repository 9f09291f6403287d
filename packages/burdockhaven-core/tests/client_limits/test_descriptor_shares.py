import pytest

from burdockhaven_core.client_limits import (
    DescriptorShares,
    HeldMemory,
    Listener,
    MemoryBudget,
    request_cost,
)


# Guards against a crowd at one address that takes the descriptors of the others.
@pytest.mark.parametrize("limit", [400, 1_000, 4_100, 65_536])
def test_all_connections_together_leave_descriptors_for_files(limit):
    shares = DescriptorShares.from_limit(limit)
    assert set(shares.connections) == set(Listener)
    assert sum(shares.connections.values()) + shares.targets < limit - 200
    # Each connection of a client may have a request at a target.
    assert shares.targets > shares.connections[Listener.FRONT]


@pytest.mark.parametrize("limit", [0, 100, 300])
def test_some_connections_of_each_kind_are_allowed_under_any_limit(limit):
    shares = DescriptorShares.from_limit(limit)
    assert min(shares.connections.values()) > 0
    assert shares.targets > 0


# Guards against idle connections that take the memory of all requests.
@pytest.mark.parametrize("memory_mb", [64, 96, 128, 192, 300, 512])
@pytest.mark.parametrize("max_descriptors", [400, 2_048, 4_100, 65_536])
def test_short_request_is_admitted_beside_idle_connections(memory_mb, max_descriptors):
    budget = MemoryBudget.from_memory(memory_mb * 2**20)
    shares = DescriptorShares.from_limit(max_descriptors, budget.connections)
    memory = HeldMemory(budget)
    memory.connections = sum(shares.connections.values())
    assert not memory.is_exceeded()
    assert memory.admit_request(request_cost(1_000, 10, 1_000))
