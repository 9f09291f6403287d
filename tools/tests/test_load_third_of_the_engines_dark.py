"""A third of the engines stop answering for five seconds, without a reset."""

from load_checks import check_nothing_starves

from burdockhaven_bench.placement_fleet import Fleet

DARK = 1_000.0
USUAL = 0.68
DARK_FROM_S = 8.0
DARK_UNTIL_S = 13.0
CHANGES = tuple(
    (at_s, index, slowness)
    for index in (0, 1)
    for at_s, slowness in ((DARK_FROM_S, DARK), (DARK_UNTIL_S, USUAL))
)


def play():
    return Fleet(load=lambda kind, at_s: 1.0, seed=1, slow_downs=CHANGES).play()


def test_dark_engines_get_no_more_than_what_finds_out():
    result = play()
    sent = [
        request
        for request in result.requests
        if request.target in ("i-0", "i-1")
        and DARK_FROM_S + 1.5 < request.arrived_s < DARK_UNTIL_S - 0.5
        and request.tries == 1
    ]
    assert len(sent) <= 4


def test_the_others_serve_on_and_nothing_starves():
    result = play()
    check_nothing_starves(result)
    during = [
        r for r in result.requests if DARK_FROM_S + 2 < r.arrived_s < DARK_UNTIL_S
    ]
    assert sum(request.served for request in during) >= 0.5 * len(during)
