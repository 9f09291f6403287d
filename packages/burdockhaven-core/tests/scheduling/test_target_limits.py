import pytest
from scheduling_samples import ENGINES, ME, placement_request, table, target

from burdockhaven_core.scheduling.broker import Broker
from burdockhaven_core.scheduling.peer_messages import (
    RunEnd,
    RunProgress,
    RunUpdate,
    Verdict,
)
from burdockhaven_core.scheduling.quotas import QuotaRule
from burdockhaven_core.scheduling.target_limits import (
    MIN_RATE_PER_S,
    RateLimiters,
    TargetLimits,
    broker_rates,
    member_rates,
)

TICK_S = 0.01
# The platform's tolerance: requests in a window of four seconds, beyond one and a half
# times the limit.
WINDOW_S = 4.0
TOLERANCE_RATIO = 1.5
TOLERANCE_REQUESTS = 5


def most_in_a_window(times_s):
    return max(
        (sum(begin <= t < begin + WINDOW_S for t in times_s) for begin in times_s),
        default=0,
    )


def allowed(limit_per_s):
    return TOLERANCE_RATIO * limit_per_s * WINDOW_S + TOLERANCE_REQUESTS


@pytest.mark.parametrize(
    ("observations", "in_force", "changes"),
    [
        ([(None, 1.0)], {}, [False]),
        ([(3.0, 1.0), (3.0, 2.0)], {"i-1": 3.0}, [True, False]),
        ([(3.0, 1.0), (2.0, 2.0)], {"i-1": 2.0}, [True, True]),
        ([(3.0, 1.0), (None, 2.0)], {}, [True, True]),
        # An older observation arrives late.
        ([(3.0, 2.0), (None, 1.0)], {"i-1": 3.0}, [True, False]),
        ([(3.0, 1.0), (None, 3.0), (3.0, 2.0)], {}, [True, True, False]),
        ([(0.0, 1.0)], {"i-1": 0.0}, [True]),
    ],
)
def test_latest_response_decides(observations, in_force, changes):
    limits = TargetLimits()
    found = [limits.record("i-1", *observation) for observation in observations]
    assert limits.in_force() == in_force
    assert found == changes


def test_announced_limits_carry_their_age_and_leave_with_their_target():
    limits = TargetLimits()
    limits.record("i-1", 3.0, 1.0)
    (announced,) = limits.announced(1.5)
    assert (announced.limit_per_s, announced.age_ms) == (3.0, 500)
    limits.retain(["i-2"])
    assert limits.announced(1.5) == ()


# Guards against incident LIMIT where each member keeps the limit, but not all together.
@pytest.mark.parametrize("members", [1, 3, 9, 84])
@pytest.mark.parametrize("limit_per_s", [0.0, 0.5, 2.0, 3.1, 20.0])
def test_members_together_stay_within_the_limit_of_a_plain_target(members, limit_per_s):
    nodes = [f"entry-{number}" for number in range(members)]
    sent_s = []
    all_limiters = []
    for node in nodes:
        limiters = RateLimiters()
        limiters.set_rates(member_rates({"i-1": limit_per_s}, node, nodes), 0.0)
        all_limiters.append(limiters)
    for tick in range(int(12.0 / TICK_S)):
        now = tick * TICK_S
        for limiters in all_limiters:
            if limiters.admits("i-1", now):
                limiters.record_send("i-1", now)
                sent_s.append(now)
    assert most_in_a_window(sent_s) <= allowed(limit_per_s)
    # What the target accepts is used, but for the first token of each member.
    expected = 10.0 * max(MIN_RATE_PER_S, limit_per_s) - 2 - 2 * limit_per_s
    assert len(sent_s) >= 0.8 * expected


# Guards against incident LIMIT: the broker granted an engine whatever it had named.
@pytest.mark.parametrize("limit_per_s", [0.0, 0.5, 2.0, 3.1, 20.0])
def test_broker_grants_an_engine_no_more_than_it_accepts(limit_per_s):
    broker = Broker(QuotaRule(8.0, 0.0))
    broker.set_table(table(slots=12))
    broker.set_targets({"i-1": target("i-1", slots=12)}, set())
    broker.limiters.set_rates(broker_rates({"i-1": limit_per_s}, 1.0), 0.0)
    granted_s = []
    for number in range(1_200):
        now = number * TICK_S
        request = placement_request(number, deadline_ms=2_000)
        replies = [broker.submit(request, now)]
        replies += [answered.reply for answered in broker.grant_queued(now)]
        replies += [answered.reply for answered in broker.refuse_infeasible(now)]
        for reply in replies:
            if reply.verdict is Verdict.GRANTED:
                granted_s.append(now)
                ended = RunUpdate(reply.number, RunEnd.COMPLETED)
                broker.apply_progress(RunProgress(ME, (ended,)), now)
    assert 0 < most_in_a_window(granted_s) <= allowed(limit_per_s)


def test_engine_without_a_limit_gets_what_a_limited_one_does_not():
    broker = Broker(QuotaRule(8.0, 0.0))
    broker.set_table(table(slots=12))
    targets = {name: target(name, slots=12) for name in ("i-1", "i-2")}
    broker.set_targets(targets, set())
    broker.limiters.set_rates(broker_rates({"i-1": 1.0}, 1.0), 0.0)
    replies = [broker.submit(placement_request(number), 0.0) for number in range(12)]
    assert {reply.target for reply in replies} == {"i-2"}
    assert broker.submit(placement_request(12), 0.5).verdict is Verdict.QUEUED
    (answered,) = broker.grant_queued(1.1)
    assert answered.reply.target == "i-1"
    assert broker.wait_estimator.limiters.rate_per_s("i-1") == 1.0
    assert len(broker.runs.open_engines(ENGINES)) == 2


@pytest.mark.parametrize("share", [1.0, 0.25])
def test_broker_of_a_partition_uses_its_share(share):
    assert broker_rates({"i-1": 4.0}, share) == {"i-1": 4.0 * share}
