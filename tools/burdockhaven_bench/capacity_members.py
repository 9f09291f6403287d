"""Capacity probes of the exchange between members.

They cover heartbeats, tier admission, slot shares, the VM list and configuration
offers.
"""

from burdockhaven_bench.capacity_entry import (
    OWN_NUMBER,
    READY_S,
    EntryHarness,
    make_demand,
    make_heartbeat,
    vm_addresses,
)
from burdockhaven_bench.capacity_inputs import (
    group_name,
    make_configuration,
    make_member_id,
)
from burdockhaven_bench.capacity_probe import Probe, Unit
from burdockhaven_bench.probing import memory_bytes, processor_us
from burdockhaven_core.actions import SendMessage
from burdockhaven_core.configuration_replica import ConfigurationReplica
from burdockhaven_core.events import MessageArrived, Tick, VmListRead
from burdockhaven_core.messages import (
    ClosePromise,
    CloseRequest,
    ConfigurationOffer,
    ConfigurationRequest,
    decode_message,
    encode_message,
)
from burdockhaven_core.slot_shares import SlotShares
from burdockhaven_core.targets import TargetTable

MEMBER_SIZES = (8, 40, 70, 100)
TARGET_SIZES = (10, 60, 120, 200)
ACCOUNT_SIZES = (5, 1_500, 3_000, 4_500, 5_900)
CHANGE_SIZES = (1, 10, 20, 30)
MEMBERS = 9
TARGETS = 40
ACCOUNTS = 100
HEARTBEAT_INTERVAL_S = 0.5
TOP_TIER = 4


def member_probes() -> tuple[Probe, ...]:
    """Return the probes sized by the members, targets, accounts or changes."""
    us, length = Unit.MICROSECONDS, Unit.BYTES
    return (
        Probe(
            "heartbeat that names members",
            length,
            "members",
            MEMBER_SIZES,
            lambda size: _message_bytes(
                make_heartbeat(1, size, TARGETS, with_peers=True)
            ),
        ),
        Probe(
            "heartbeat",
            length,
            "targets",
            TARGET_SIZES,
            lambda size: _message_bytes(make_heartbeat(1, MEMBERS, size)),
        ),
        Probe("decode a heartbeat", us, "targets", TARGET_SIZES, _decode_heartbeat),
        Probe("take in a heartbeat", us, "members", MEMBER_SIZES, _receive_heartbeat),
        Probe("tick with heartbeats", us, "members", MEMBER_SIZES, _tick_members),
        Probe("tick without heartbeats", us, "members", MEMBER_SIZES, _idle_tick),
        Probe(
            "tick without heartbeats",
            us,
            "targets",
            TARGET_SIZES,
            lambda size: _tick(EntryHarness.from_sizes(MEMBERS, size, ACCOUNTS), 0.0),
        ),
        Probe("encode a heartbeat", us, "targets", TARGET_SIZES, _encode_heartbeat),
        Probe("close a floor once", us, "members", MEMBER_SIZES, _close_group),
        Probe("grant one group's shares", us, "members", MEMBER_SIZES, _grant_members),
        Probe("grant one group's shares", us, "targets", TARGET_SIZES, _grant_targets),
        Probe("share grant", length, "targets", TARGET_SIZES, _grant_bytes),
        Probe("take in the VM list", us, "targets", TARGET_SIZES, _apply_vm_list),
        Probe("configuration offer", length, "accounts", ACCOUNT_SIZES, _offer_bytes),
        Probe("make an offer", us, "accounts", ACCOUNT_SIZES, _make_offer),
        Probe("take in an offer", us, "accounts", ACCOUNT_SIZES, _receive_offer),
        Probe("offers taken in", us, "changes", CHANGE_SIZES, _receive_offers),
        Probe(
            "entry kept",
            length,
            "members",
            MEMBER_SIZES,
            lambda size: memory_bytes(
                lambda: EntryHarness.from_sizes(size, TARGETS, 100)
            ),
        ),
        Probe(
            "entry kept",
            length,
            "targets",
            TARGET_SIZES,
            lambda size: memory_bytes(
                lambda: EntryHarness.from_sizes(MEMBERS, size, 100)
            ),
        ),
    )


def _message_bytes(arrived: MessageArrived) -> tuple[float, ...]:
    return (float(len(encode_message(arrived.message))),)


def _encode_heartbeat(targets: int) -> tuple[float, ...]:
    message = make_heartbeat(1, MEMBERS, targets).message
    return processor_us(lambda: encode_message(message))


def _decode_heartbeat(targets: int) -> tuple[float, ...]:
    data = encode_message(make_heartbeat(1, MEMBERS, targets).message)
    return processor_us(lambda: decode_message(data))


def _receive_heartbeat(members: int) -> tuple[float, ...]:
    harness = EntryHarness.from_sizes(members, TARGETS, ACCOUNTS)
    # Created in advance, so that the measurement covers mainly the receipt. Each call
    # uses the next sequence number, since a repeated one would be ignored.
    arrived = make_heartbeat(1, members, TARGETS)
    heartbeat = arrived.message
    fields = {name: getattr(heartbeat, name) for name in heartbeat.__struct_fields__}
    sequence = 1

    def receive() -> None:
        nonlocal sequence
        sequence += 1
        fields["sequence"] = sequence
        harness.step(MessageArrived(arrived.sender, type(heartbeat)(**fields)))

    return processor_us(receive)


def _tick(harness: EntryHarness, elapsed_s: float) -> tuple[float, ...]:
    def tick() -> None:
        harness.now += elapsed_s
        harness.step(Tick())

    return processor_us(tick)


def _tick_members(members: int) -> tuple[float, ...]:
    harness = EntryHarness.from_sizes(members, TARGETS, ACCOUNTS)
    return _tick(harness, HEARTBEAT_INTERVAL_S)


def _idle_tick(members: int) -> tuple[float, ...]:
    return _tick(EntryHarness.from_sizes(members, TARGETS, ACCOUNTS), 0.0)


def _close_group(members: int) -> tuple[float, ...]:
    """Measure closing a group: close requests to all members and their promises."""
    harness = EntryHarness.from_sizes(members, TARGETS, ACCOUNTS)
    tier_admission = harness.entry.state.tier_admission
    group = group_name(0)

    def close() -> None:
        harness.now += 1.0
        for sent in tier_admission.request_shedding(group, TOP_TIER, harness.now):
            if not isinstance(sent.message, CloseRequest):
                continue
            request = sent.message
            promise = ClosePromise(
                sent.to.entry,
                sent.to.incarnation,
                group,
                request.tier,
                request.request_number,
                2.0,
            )
            tier_admission.on_message(sent.to, promise, harness.now)
        tier_admission.on_tick(harness.now)

    return processor_us(close)


def _coordinator_shares(
    members: int, targets: int
) -> tuple[SlotShares, list[SendMessage]]:
    """Create the shares of the first group's coordinator, and its first grants."""
    table = TargetTable()
    table.apply(make_configuration(ACCOUNTS, targets))
    shares = SlotShares.from_config(make_member_id(OWN_NUMBER), table)
    shares.members = tuple(make_member_id(number) for number in range(members))
    for number in range(members):
        for demand in make_demand(targets):
            shares._record_demand(make_member_id(number), demand, READY_S)
    return shares, shares._grant(group_name(0), READY_S)


def _grant_members(members: int) -> tuple[float, ...]:
    shares, _ = _coordinator_shares(members, TARGETS)
    return processor_us(lambda: shares._grant(group_name(0), READY_S))


def _grant_targets(targets: int) -> tuple[float, ...]:
    shares, _ = _coordinator_shares(MEMBERS, targets)
    return processor_us(lambda: shares._grant(group_name(0), READY_S))


def _grant_bytes(targets: int) -> tuple[float, ...]:
    _, sends = _coordinator_shares(MEMBERS, targets)
    return tuple(float(len(encode_message(sent.message))) for sent in sends)


def _apply_vm_list(targets: int) -> tuple[float, ...]:
    harness = EntryHarness.from_sizes(MEMBERS, targets, ACCOUNTS)
    read = VmListRead(vm_addresses(MEMBERS, targets), frozenset())
    return processor_us(lambda: harness.step(read))


def _offer(accounts: int, version: int = 2) -> ConfigurationOffer:
    replica = ConfigurationReplica(make_member_id(1))
    replica.apply_if_newer(make_configuration(accounts, TARGETS, version))
    request = ConfigurationRequest(
        make_member_id(OWN_NUMBER).entry, make_member_id(OWN_NUMBER).incarnation, 1
    )
    (sent,) = replica.on_request(make_member_id(OWN_NUMBER), request)
    assert isinstance(sent.message, ConfigurationOffer)
    return sent.message


def _offer_bytes(accounts: int) -> tuple[float, ...]:
    return (float(len(encode_message(_offer(accounts)))),)


def _make_offer(accounts: int) -> tuple[float, ...]:
    replica = ConfigurationReplica(make_member_id(1))
    replica.apply_if_newer(make_configuration(accounts, TARGETS, 2))
    request = ConfigurationRequest(
        make_member_id(OWN_NUMBER).entry, make_member_id(OWN_NUMBER).incarnation, 1
    )
    return processor_us(lambda: replica.on_request(make_member_id(OWN_NUMBER), request))


def _receive_offer(accounts: int) -> tuple[float, ...]:
    harness = EntryHarness.from_sizes(MEMBERS, TARGETS, accounts)
    arrived = MessageArrived(make_member_id(1), _offer(accounts))

    def receive() -> None:
        harness.entry.state.replica.configuration = _EMPTY
        harness.step(arrived)

    return processor_us(receive)


def _receive_offers(changes: int) -> tuple[float, ...]:
    """Measure consecutive changes at the largest number of accounts."""
    harness = EntryHarness.from_sizes(MEMBERS, TARGETS, ACCOUNT_SIZES[-1])
    arrived = MessageArrived(make_member_id(1), _offer(ACCOUNT_SIZES[-1]))

    def receive() -> None:
        for _ in range(changes):
            harness.entry.state.replica.configuration = _EMPTY
            harness.step(arrived)

    return processor_us(receive)


_EMPTY = make_configuration(1, 1, version=1)
