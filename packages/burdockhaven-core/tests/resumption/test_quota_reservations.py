"""Quota kept for resumed streams, alone and at a broker under load."""

from scheduling_samples import ENGINES, account, placement_request, table, target

from burdockhaven_core.resumption.quota_reservations import (
    RETURN_MARGIN_S,
    QuotaReservations,
)
from burdockhaven_core.scheduling.broker import Broker
from burdockhaven_core.scheduling.peer_messages import Verdict
from burdockhaven_core.scheduling.quotas import QuotaRule

WINDOW_S = 8.0
# Units of the account in one window.
LIMIT = 8_000.0


def test_reservation_ends_with_its_return_or_its_time():
    reservations = QuotaReservations()
    reservations.reserve(1, "acme", 100.0, 2.0, 10.0)
    reservations.reserve(2, "acme", 50.0, 4.0, 10.0)
    reservations.reserve(3, "other", 10.0, 4.0, 10.0)
    assert reservations.units("acme", 11.0) == 150.0
    reservations.release(2)
    assert reservations.units("acme", 11.0) == 100.0
    assert reservations.units("acme", 12.0 + RETURN_MARGIN_S) == 0.0
    assert reservations.units("other", 12.5) == 10.0


def start_broker():
    """Return a broker that has just started after all members have ended."""
    broker = Broker(QuotaRule(WINDOW_S, 0.0))
    acme = account(rate_per_s=LIMIT / WINDOW_S)
    broker.set_table(table(accounts=(acme,), slots=8))
    broker.set_targets({"i-1": target(slots=8)}, set())
    broker.quotas.usage_known_since_s = 0.0
    return broker


def submit(broker, number, now, **changes):
    request = placement_request(
        number, account="acme", prompt_tokens=400, output_tokens=100, **changes
    )
    assert request.service == ENGINES
    return broker.submit(request, now)


# Guards against LOST: after a start of all members, new requests use up each part of a
# quota that comes back, and streams that clients resume are refused again and again.
def test_resumed_streams_get_returning_quota_before_new_requests():
    broker = start_broker()
    resumed = {"is_resumption": True, "is_retry": True, "digest": 7}
    refused = submit(broker, 1, 0.1, **resumed)
    assert refused.verdict is Verdict.OVER_QUOTA
    number, now = 2, 0.1
    while now < 0.1 + refused.retry_after_ms / 1e3:
        assert submit(broker, number, now).verdict is Verdict.OVER_QUOTA
        number, now = number + 1, now + 0.05
    assert submit(broker, number, now, **resumed).verdict is Verdict.GRANTED


# Guards against quota that is kept for a client that never returns.
def test_quota_of_a_stream_that_does_not_return_is_free_again():
    broker = start_broker()
    refused = submit(broker, 1, 0.1, is_resumption=True, digest=7)
    later_s = 0.1 + refused.retry_after_ms / 1e3 + RETURN_MARGIN_S + 0.05
    assert submit(broker, 2, later_s).verdict is Verdict.GRANTED
