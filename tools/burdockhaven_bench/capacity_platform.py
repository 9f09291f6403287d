"""Capacity probes of the configuration's storage and checks, and of the metrics."""

from burdockhaven_bench.capacity_inputs import (
    account_name,
    class_name,
    make_configuration,
)
from burdockhaven_bench.capacity_probe import Probe, Unit
from burdockhaven_bench.probing import memory_bytes, processor_us
from burdockhaven_core.actions import RecordRequest
from burdockhaven_core.configuration import Configuration
from burdockhaven_core.configuration_check import validate_configuration
from burdockhaven_core.configuration_codec import (
    decode_configuration,
    encode_configuration,
)
from burdockhaven_core.configuration_parts import (
    PartName,
    decode_parts,
    encode_parts,
    make_index,
)
from burdockhaven_core.targets import TargetTable
from burdockhaven_entry.metrics import Metrics

ACCOUNT_SIZES = (5, 1_500, 3_000, 4_500, 5_900)
TARGET_SIZES = (10, 60, 120, 200)
# Number of targets while the accounts vary, and of accounts while the targets vary.
TARGETS = 40
ACCOUNTS = 100
# Label values of the peer message metrics, which have one series per message kind.
MESSAGE_KINDS = ("Heartbeat", "CloseAsk", "ClosePromise", "ShareGrant")


def platform_probes() -> tuple[Probe, ...]:
    """Return the probes whose size is the number of accounts or targets."""
    return (
        Probe(
            "configuration encoded",
            Unit.BYTES,
            "accounts",
            ACCOUNT_SIZES,
            lambda size: (float(len(encode_configuration(_by_accounts(size)))),),
        ),
        Probe(
            "configuration encoded",
            Unit.BYTES,
            "targets",
            TARGET_SIZES,
            lambda size: (float(len(encode_configuration(_by_targets(size)))),),
        ),
        Probe(
            "encode configuration",
            Unit.MICROSECONDS,
            "accounts",
            ACCOUNT_SIZES,
            _encode,
        ),
        Probe(
            "decode configuration",
            Unit.MICROSECONDS,
            "accounts",
            ACCOUNT_SIZES,
            _decode,
        ),
        Probe(
            "read a change from the store",
            Unit.MICROSECONDS,
            "accounts",
            ACCOUNT_SIZES,
            _read_change,
        ),
        Probe(
            "largest part in the store",
            Unit.BYTES,
            "accounts",
            ACCOUNT_SIZES,
            lambda size: (float(max(map(len, _parts(size).values()))),),
        ),
        Probe(
            "validate configuration",
            Unit.MICROSECONDS,
            "accounts",
            ACCOUNT_SIZES,
            _validate,
        ),
        Probe(
            "apply configuration",
            Unit.MICROSECONDS,
            "targets",
            TARGET_SIZES,
            _apply_targets,
        ),
        Probe(
            "configuration kept",
            Unit.BYTES,
            "accounts",
            ACCOUNT_SIZES,
            lambda size: memory_bytes(lambda: _make_decoded(size)),
        ),
        Probe(
            "record a request in the metrics",
            Unit.MICROSECONDS,
            "accounts",
            ACCOUNT_SIZES,
            _record,
        ),
        Probe(
            "render the metrics",
            Unit.MICROSECONDS,
            "accounts",
            ACCOUNT_SIZES,
            lambda size: processor_us(_make_metrics(size).render),
        ),
        Probe(
            "page of metrics",
            Unit.BYTES,
            "accounts",
            ACCOUNT_SIZES,
            lambda size: (float(len(_make_metrics(size).render())),),
        ),
        Probe(
            "metrics kept",
            Unit.BYTES,
            "accounts",
            ACCOUNT_SIZES,
            lambda size: memory_bytes(lambda: _make_metrics(size)),
        ),
    )


def make_finished_request(number: int) -> RecordRequest:
    """Create the record of a completed request of one account."""
    tier = number % 5
    return RecordRequest(
        account=account_name(number),
        class_name=class_name(tier),
        tier=tier,
        result="whole",
        in_time=True,
        queued_s=0.01,
        first_token_s=0.4,
        total_s=9.0,
        wasted_prompt_tokens=0,
        prompt_tokens=700,
        service_s=8.9,
    )


def _by_accounts(size: int) -> Configuration:
    return make_configuration(size, TARGETS)


def _by_targets(size: int) -> Configuration:
    return make_configuration(ACCOUNTS, size)


def _encode(size: int) -> tuple[float, ...]:
    configuration = _by_accounts(size)
    return processor_us(lambda: encode_configuration(configuration))


def _decode(size: int) -> tuple[float, ...]:
    data = encode_configuration(_by_accounts(size))
    return processor_us(lambda: decode_configuration(data))


def _parts(size: int) -> dict[PartName, bytes]:
    return encode_parts(_by_accounts(size))


def _read_change(size: int) -> tuple[float, ...]:
    """Measure the processing of a change after its parts were read.

    As in the daemon, this includes encoding the local configuration, which supplies the
    unchanged parts.
    """
    local = _by_accounts(size)
    index = make_index(local, encode_parts(local))
    return processor_us(lambda: decode_parts(index, encode_parts(local)))


def _validate(size: int) -> tuple[float, ...]:
    configuration = _by_accounts(size)
    return processor_us(lambda: validate_configuration(configuration))


def _apply_targets(size: int) -> tuple[float, ...]:
    table = TargetTable()
    configuration = _by_targets(size)
    return processor_us(lambda: table.apply(configuration))


def _make_decoded(size: int) -> object:
    data = encode_configuration(_by_accounts(size))
    return decode_configuration(data).unwrap()


def _make_metrics(accounts: int) -> Metrics:
    metrics = Metrics()
    for number in range(accounts):
        metrics.record_request(make_finished_request(number))
    for kind in MESSAGE_KINDS:
        metrics.record_peer_message("sent", kind, 100)
        metrics.record_peer_message("received", kind, 100)
    return metrics


def _record(accounts: int) -> tuple[float, ...]:
    metrics = _make_metrics(accounts)
    requests = [make_finished_request(number) for number in range(accounts)]
    position = 0

    def record() -> None:
        nonlocal position
        position = (position + 1) % len(requests)
        metrics.record_request(requests[position])

    return processor_us(record)
