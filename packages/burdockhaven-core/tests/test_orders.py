"""Order lease: a single holder, even if one is paused beyond its lease."""

import dataclasses
import itertools

import pytest

from burdockhaven_core.configuration import (
    Configuration,
    GroupKind,
    GroupSpec,
    OrderKind,
    TargetOrder,
    TargetSpec,
    Template,
)
from burdockhaven_core.orders import (
    LEASE_TTL_S,
    LOAD_INTERVAL_S,
    ORDER_TIMEOUT_S,
    PREDECESSOR_GRACE_S,
    REPEAT_INTERVAL_S,
    RETRY_INTERVAL_S,
    OrderDone,
    OrderFailed,
    OrderLease,
    OrderPlanner,
)

LOAD = TargetOrder(OrderKind.LOAD_MODEL, "survey-7b")
ROLE = TargetOrder(OrderKind.CHANGE_ROLE, "prefill")
NO_EXPIRY_S = 1e9


def target(number, *orders, checks_fencing=True):
    address = f"http://127.0.0.1:{9000 + number}"
    return TargetSpec(
        f"engine-{number}",
        address,
        "zone",
        checks_fencing=checks_fencing,
        orders=orders,
    )


def configuration(*targets):
    group = GroupSpec("g", GroupKind.MODEL, targets)
    return Configuration(1, {"t": Template("t", (group,), ())})


def run(planner, wanted, lease, seconds, fail=lambda sent: False):
    """Plan once a second with immediate results; return (time, order) pairs."""
    sent = []
    for now in range(seconds):
        for order in planner.plan(wanted, lease, float(now)):
            sent.append((now, order))
            failed = OrderFailed(order, is_fenced=False, detail="fault")
            planner.on_result(failed if fail(order) else OrderDone(order), now)
    return sent


@pytest.mark.parametrize(
    ("now", "checks_fencing", "can_send"),
    [
        (0.0, True, True),
        (0.0, False, False),
        (PREDECESSOR_GRACE_S - 0.1, False, False),
        (PREDECESSOR_GRACE_S, False, True),
        (100.0 - ORDER_TIMEOUT_S, True, False),
        (100.0 - ORDER_TIMEOUT_S, False, False),
        (100.0 - 2 * ORDER_TIMEOUT_S, False, True),
        (200.0, True, False),
    ],
)
def test_order_needs_the_send_margin_left_on_the_lease(now, checks_fencing, can_send):
    lease = OrderLease(fencing=7, acquired_s=0.0, until_s=100.0)
    engine = target(1, ROLE, checks_fencing=checks_fencing)
    assert lease.can_send(engine, now) is can_send


def test_no_order_without_a_lease():
    assert OrderPlanner().plan(configuration(target(1, LOAD)), None, 50.0) == []


def test_each_order_is_sent_once_and_repeated_after_the_interval():
    wanted = configuration(target(1, ROLE), target(2, ROLE))
    lease = OrderLease(7, 0.0, NO_EXPIRY_S)
    sent = run(OrderPlanner(), wanted, lease, int(REPEAT_INTERVAL_S) + 10)
    times = [(now, order.target.name) for now, order in sent]
    again = int(REPEAT_INTERVAL_S)
    assert times == [
        (0, "engine-1"),
        (0, "engine-2"),
        (again, "engine-1"),
        (again, "engine-2"),
    ]


def test_load_orders_respect_the_weight_store_rate():
    wanted = configuration(*(target(n, LOAD, ROLE) for n in range(20)))
    sent = run(OrderPlanner(), wanted, OrderLease(7, 0.0, NO_EXPIRY_S), 300)
    loads = [now for now, order in sent if order.order is LOAD]
    assert len(loads) == 20
    intervals = [after - before for before, after in itertools.pairwise([0, *loads])]
    assert min(intervals) >= LOAD_INTERVAL_S


def test_load_rate_holds_across_a_change_of_holder():
    wanted = configuration(*(target(n, LOAD) for n in range(5)))
    first, second = OrderPlanner(), OrderPlanner()
    before = run(first, wanted, OrderLease(7, 0.0, 30.0), 60)
    after = run(second, wanted, OrderLease(9, 31.0, NO_EXPIRY_S), 60)
    assert after[0][0] - before[-1][0] >= LOAD_INTERVAL_S


def test_target_has_one_order_in_flight():
    planner = OrderPlanner()
    wanted = configuration(target(1, ROLE, TargetOrder(OrderKind.LOAD_ADAPTER, "a")))
    lease = OrderLease(7, 0.0, NO_EXPIRY_S)
    (sent,) = planner.plan(wanted, lease, 50.0)
    assert planner.plan(wanted, lease, 70.0) == []
    planner.on_result(OrderDone(sent), 70.0)
    assert len(planner.plan(wanted, lease, 70.0)) == 1


def test_failed_order_is_retried_after_the_interval():
    wanted = configuration(target(1, ROLE))
    outcomes = iter([True, False])
    sent = run(
        OrderPlanner(),
        wanted,
        OrderLease(7, 0.0, NO_EXPIRY_S),
        20,
        fail=lambda order: next(outcomes),
    )
    assert [now for now, _ in sent] == [0, RETRY_INTERVAL_S]


class Engine:
    """Carries out orders; rejects old fencing tokens if it checks them."""

    def __init__(self, spec):
        self.spec = spec
        self.fencing = []

    def order(self, sent):
        newest = max(self.fencing, default=0)
        if self.spec.checks_fencing and sent.fencing < newest:
            return False
        self.fencing.append(sent.fencing)
        return True

    @property
    def accepted_stale_order(self):
        return self.fencing != sorted(self.fencing)


@pytest.mark.parametrize("checks_fencing", [True, False])
@pytest.mark.parametrize("checks_deadline", [True, False])
def test_holder_paused_beyond_its_lease(checks_fencing, checks_deadline):
    """A holder plans an order, is paused until its successor has sent one, and resumes.

    Without the lease check immediately before the send, an engine that does not check
    fencing tokens carries out the order of the old holder after that of the new one.
    """
    spec = target(1, ROLE, checks_fencing=checks_fencing)
    engine = Engine(spec)
    wanted = configuration(spec)
    old = OrderLease(7, 0.0, 20.0)
    (late,) = OrderPlanner().plan(wanted, old, 13.0)
    new = OrderLease(9, 21.0, NO_EXPIRY_S)
    (sent,) = OrderPlanner().plan(wanted, new, 21.0 + PREDECESSOR_GRACE_S)
    assert engine.order(sent)
    resumed = 40.0
    if not checks_deadline or old.can_send(spec, resumed):
        engine.order(late)
    assert engine.accepted_stale_order == (not checks_deadline and not checks_fencing)


def test_new_holder_waits_for_in_flight_orders_of_the_old_one():
    """The old holder starts an order at the latest time that its lease permits."""
    spec = target(1, ROLE, checks_fencing=False)
    old = OrderLease(7, 0.0, 30.0)
    last = max(now / 10 for now in range(400) if old.can_send(spec, now / 10))
    arrives = last + ORDER_TIMEOUT_S
    # The key-value service does not end the old lease before its holder expects it.
    new = OrderLease(9, old.until_s, NO_EXPIRY_S)
    first = min(now / 10 for now in range(900) if new.can_send(spec, now / 10))
    assert arrives < old.until_s
    assert first >= arrives + LEASE_TTL_S


def test_renewed_lease_keeps_its_fencing_token_and_start():
    lease = OrderLease(7, 1.0, 11.0)
    assert lease.renewed(14.0) == dataclasses.replace(lease, until_s=14.0)
