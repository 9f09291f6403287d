"""The users' bounds on a play of the fleet: nothing starves, and the worth holds."""

from burdockhaven_bench.placement_fleet import REQUEST_KINDS, FleetResult

# Worth of the days with trouble that the users ask for on the harder of their sites.
MIN_VALUE_SHARE = 0.72
# A kind is starved below this part of the share of all that is served.
STARVED_KIND_SHARE = 0.25
# The largest tenth is starved below this part of its kind's share.
STARVED_SIZE_SHARE = 0.5


def share_within_deadline(result, condition):
    chosen = [request for request in result.requests if condition(request)]
    return sum(request.has_met_deadline for request in chosen) / len(chosen)


def check_nothing_starves(result: FleetResult) -> None:
    all_share = share_within_deadline(result, lambda request: True)
    for kind in REQUEST_KINDS:
        of_kind = [r for r in result.requests if r.kind is kind]
        share = share_within_deadline(result, lambda r, k=kind: r.kind is k)
        assert share >= STARVED_KIND_SHARE * all_share, kind.name
        sizes = sorted(request.relative_size for request in of_kind)
        large = sizes[int(0.9 * len(sizes))]
        large_share = share_within_deadline(
            result, lambda r, k=kind, s=large: r.kind is k and r.relative_size >= s
        )
        assert large_share >= STARVED_SIZE_SHARE * share, kind.name
