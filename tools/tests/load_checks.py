"""The users' bounds on a play of the fleet: nothing starves, and the worth holds."""

from burdockhaven_bench.placement_fleet import SHEET, FleetResult

# Worth of the days with trouble that the users ask for on the harder of their sites.
WORTH_TARGET = 0.72
# A kind is starved below this part of the share of all that is served.
STARVED_KIND_PART = 0.25
# The largest tenth is starved below this part of its kind's share.
STARVED_SIZE_PART = 0.5


def served_share(result, wanted):
    chosen = [request for request in result.requests if wanted(request)]
    return sum(request.served for request in chosen) / len(chosen)


def check_nothing_starves(result: FleetResult) -> None:
    all_share = served_share(result, lambda request: True)
    for kind in SHEET:
        of_kind = [r for r in result.requests if r.kind is kind]
        share = served_share(result, lambda r, k=kind: r.kind is k)
        assert share >= STARVED_KIND_PART * all_share, kind.name
        sizes = sorted(request.size for request in of_kind)
        large = sizes[int(0.9 * len(sizes))]
        large_share = served_share(
            result, lambda r, k=kind, s=large: r.kind is k and r.size >= s
        )
        assert large_share >= STARVED_SIZE_PART * share, kind.name
