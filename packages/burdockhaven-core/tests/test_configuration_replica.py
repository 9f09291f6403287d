"""A replica never moves to an older version, and versions spread between members."""

import dataclasses

import pytest

from burdockhaven_core.configuration import ChangeRecord, Configuration
from burdockhaven_core.configuration_codec import encode_configuration
from burdockhaven_core.configuration_parts import encode_offer, part_digests
from burdockhaven_core.configuration_replica import (
    CONFIGURATION_REQUEST_DELAY_S,
    ConfigurationReplica,
    InForceCount,
    count_in_force,
)
from burdockhaven_core.identity import MemberId
from burdockhaven_core.messages import (
    ConfigurationOffer,
    ConfigurationRequest,
    Heartbeat,
)
from burdockhaven_standins.samples import ACCOUNT, TEMPLATE

ME = MemberId("e1", "a")
OTHER = MemberId("e2", "b")


def version(number, operation="op"):
    return Configuration(number, recent=(ChangeRecord(number, operation, ""),))


def heartbeat(config_version):
    return Heartbeat(
        "e2", "b", 1, 0.0, "", "", "z", True, False, config_version, (), ()
    )


@pytest.mark.parametrize(
    ("offered", "kept"),
    [
        ((1, 2, 3), 3),
        ((3, 2, 1), 3),
        ((2, 5, 4), 5),
    ],
)
def test_an_older_version_never_replaces_a_newer_one(offered, kept):
    replica = ConfigurationReplica(ME)
    for number in offered:
        replica.apply_if_newer(version(number))
    assert replica.version == kept


def test_members_choose_the_same_of_two_configurations_of_one_version():
    one, other = version(3, "x"), version(3, "y")
    chosen = []
    for order in ((one, other), (other, one)):
        replica = ConfigurationReplica(ME)
        for each in order:
            replica.apply_if_newer(each)
        chosen.append(replica.configuration)
    assert chosen[0] == chosen[1]


def test_an_entry_is_not_ready_before_it_has_a_configuration():
    replica = ConfigurationReplica(ME)
    assert not replica.ready
    assert replica.on_request(OTHER, ConfigurationRequest("e2", "b", -1)) == []
    replica.apply_if_newer(Configuration())
    assert replica.ready


def test_a_starting_entry_gets_the_configuration_from_a_member():
    holder = ConfigurationReplica(OTHER, version(4), ready=True)
    starting = ConfigurationReplica(ME)
    (request,) = starting.on_heartbeat(heartbeat(4), now=0.0)
    assert request.to == OTHER
    (offer,) = holder.on_request(ME, request.message)
    assert starting.on_offer(offer.message).unwrap()
    assert starting.ready
    assert starting.configuration == holder.configuration
    assert starting.on_heartbeat(heartbeat(4), now=5.0) == []


def test_requests_for_a_version_are_rate_limited():
    replica = ConfigurationReplica(ME)
    times = (0.0, 0.5, 0.9, 1.0, 1.5)
    requests = [len(replica.on_heartbeat(heartbeat(4), now)) for now in times]
    assert requests == [1, 0, 0, 1, 0]
    assert len(replica.on_heartbeat(heartbeat(5), now=1.6)) == 1


def test_a_ready_member_waits_for_its_watch_before_requesting():
    replica = ConfigurationReplica(ME, version(3), ready=True)
    times = (10.0, 10.5, 10.0 + CONFIGURATION_REQUEST_DELAY_S)
    requests = [len(replica.on_heartbeat(heartbeat(4), now)) for now in times]
    assert requests == [0, 0, 1]
    replica.apply_if_newer(version(4))
    assert replica.on_heartbeat(heartbeat(5), 30.0) == []


def large_configuration(weight, count=5_900):
    """Create a configuration of many accounts, with the weight set on one of them."""
    accounts = {
        name: dataclasses.replace(ACCOUNT, account=name)
        for name in (f"account-{number}" for number in range(count))
    }
    changed = dataclasses.replace(accounts["account-7"], weight=weight)
    accounts["account-7"] = changed
    number = 10 + int(weight)
    record = ChangeRecord(number, "op", "put account account-7")
    return Configuration(number, {"site": TEMPLATE}, accounts, (record,))


def test_an_offer_holds_only_the_parts_that_the_requester_lacks():
    requester = ConfigurationReplica(
        ME, large_configuration(1.0), ready=True, behind_since_s=0.0
    )
    holder = ConfigurationReplica(OTHER, large_configuration(2.0), ready=True)
    (request,) = requester.on_heartbeat(heartbeat(12), CONFIGURATION_REQUEST_DELAY_S)
    (offer,) = holder.on_request(ME, request.message)
    assert (
        len(offer.message.body)
        < len(encode_configuration(large_configuration(2.0))) / 30
    )
    assert requester.on_offer(offer.message).unwrap()
    assert requester.configuration == holder.configuration


def test_an_offer_that_lacks_a_part_is_rejected():
    requester = ConfigurationReplica(ME)
    body = encode_offer(
        large_configuration(1.0, count=50),
        part_digests(large_configuration(1.0, count=50)),
    )
    assert requester.on_offer(ConfigurationOffer("e2", "b", 11, body)).is_err()
    assert requester.version == 0


@pytest.mark.parametrize("body", [b"", b"\xc1", b"\x80"])
def test_a_malformed_offer_is_rejected(body):
    replica = ConfigurationReplica(ME, version(2), ready=True)
    offer = ConfigurationOffer("e2", "b", 9, body)
    assert replica.on_offer(offer).is_err()
    assert replica.version == 2


def test_only_members_with_the_version_in_force_are_counted():
    assert count_in_force(5, (5, 4, 6, 0)) == InForceCount(
        5, members_in_force=2, live_members=4
    )
