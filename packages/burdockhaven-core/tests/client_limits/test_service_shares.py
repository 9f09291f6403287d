import pytest

from burdockhaven_core.client_limits import ServiceShares

CONNECTIONS = 100


def fill(shares, service):
    while shares.admit(service):
        pass
    return shares.under_way[service]


# Guards against requests to a service that doesn't respond taking all connections.
@pytest.mark.parametrize("slow_services", [1, 2, 3])
def test_slow_services_leave_room_for_another_one(slow_services):
    shares = ServiceShares(CONNECTIONS)
    for number in range(slow_services):
        fill(shares, f"slow {number}")
    assert shares.admit("sound")


def test_single_service_may_use_most_of_the_capacity():
    assert fill(ServiceShares(CONNECTIONS), "one") in range(60, 70)


def test_ended_requests_make_room():
    shares = ServiceShares(CONNECTIONS)
    fill(shares, "one")
    shares.release("one")
    assert shares.admit("one")


def test_some_request_is_admitted_however_few_connections():
    assert ServiceShares(1).admit("one")
