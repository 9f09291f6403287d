"""A twentieth of one kind of request has a prompt part beneath which engines end."""

import pytest
from load_checks import check_nothing_starves, share_within_deadline

from burdockhaven_bench.placement_fleet import CRASHING_PART, PlacementFleet

BEGIN_S = 6.0
END_S = 26.0
# Engines that may end before the part is known, and requests that may reach one later.
MAX_CRASHES = 5 + 3
# Sound requests begin at least half as often as without the part.
MIN_SHARE = 0.5


def run(seed, kind, share):
    def crashing_share(name, at_s):
        return share if name == kind and BEGIN_S <= at_s < END_S else 0.0

    return PlacementFleet(seed=seed, crashing_share=crashing_share).run()


# Engines ended one after the other until few were left, and other requests with them.
@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize(
    ("kind", "share"),
    [("review", 0.05), ("review", 0.3), ("summary", 0.05), ("triage", 0.02)],
)
def test_part_that_ends_engines_ends_few(seed, kind, share):
    result = run(seed, kind, share)
    assert 1 <= len(result.crashes) <= MAX_CRASHES
    sound = [r for r in result.requests if CRASHING_PART not in r.parts]
    during = share_within_deadline(
        result,
        lambda r: CRASHING_PART not in r.parts and BEGIN_S + 6 < r.arrived_s < END_S,
    )
    before = share_within_deadline(result, lambda r: r.arrived_s < BEGIN_S)
    assert during >= MIN_SHARE * before
    assert all(r.is_refused for r in result.requests if r not in sound)


@pytest.mark.parametrize("seed", [1, 2])
def test_nothing_starves_while_engines_end(seed):
    check_nothing_starves(run(seed, "review", 0.05))
