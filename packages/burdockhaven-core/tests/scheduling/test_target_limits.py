import pytest

from burdockhaven_core.scheduling.target_limits import TargetLimits


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
