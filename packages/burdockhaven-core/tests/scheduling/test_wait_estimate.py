import math

import pytest
from scheduling_samples import target

from burdockhaven_core.scheduling.engine_load import EngineLoad
from burdockhaven_core.scheduling.engine_speed import ServiceSpeed
from burdockhaven_core.scheduling.queue_order import QueueClass
from burdockhaven_core.scheduling.route_costs import RouteCosts
from burdockhaven_core.scheduling.target_limits import RateLimiters
from burdockhaven_core.scheduling.wait_estimate import (
    MIN_FREE_SLOTS,
    VersionedWork,
    WaitEstimator,
)

CLASS = QueueClass("engines", "r", 0, 0, 1.0, False)


@pytest.mark.parametrize(
    ("work", "version", "expected_s"),
    [
        ({"": 6.0}, "", 2.0),
        ({"": 6.0, "v1": 1.0}, "", 7 / 3),
        # The long backlog of v1 delays nobody else.
        ({"": 6.0, "v1": 50.0}, "", 3.0),
        ({"v1": 50.0}, "", 0.0),
        ({"": 6.0, "v1": 50.0}, "v1", 50.0),
        ({"": 6.0, "v1": 1.0}, "v1", 7 / 3),
        ({"v3": 1.0}, "v3", math.inf),
    ],
)
def test_wait_of_work_for_a_version(work, version, expected_s):
    waiting = VersionedWork()
    for needed, work_s in work.items():
        waiting.add(needed, work_s)
    capacities = {"v1": 1.0, "v2": 2.0}
    assert waiting.wait_s(version, capacities) == pytest.approx(expected_s)


@pytest.mark.parametrize("version", ["", "v1"])
def test_no_wait_is_known_while_no_engine_is(version):
    waiting = VersionedWork()
    waiting.add(version, 5.0)
    assert waiting.wait_s(version, {}) == 0.0


# Guards against a division by zero, or an endless wait, at engines that accept nothing.
@pytest.mark.parametrize(
    ("limited", "expected"),
    [
        (("i-1",), {"v1": MIN_FREE_SLOTS, "v2": 4.0}),
        (("i-1", "i-2"), {"v1": MIN_FREE_SLOTS, "v2": MIN_FREE_SLOTS}),
    ],
)
def test_version_whose_engines_accept_nothing_keeps_a_minimum(limited, expected):
    limiters = RateLimiters()
    limiters.set_rates(dict.fromkeys(limited, 0.0), 0.0)
    estimator = WaitEstimator(RouteCosts(), limiters)
    engines = [
        EngineLoad(entry.id, entry.slots, 1, ServiceSpeed(), "a", version)
        for entry, version in (
            (target("i-1", slots=4), "v1"),
            (target("i-2", slots=4), "v2"),
        )
    ]
    assert estimator.capacities(CLASS, engines, 0.0) == pytest.approx(expected)
