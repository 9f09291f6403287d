import pytest

from burdockhaven_core.client_limits import DescriptorShares, Listener


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
