"""The users' requirements on a simulation run: minimum value and no starvation."""

from burdockhaven_bench.simulated_requests import REQUEST_KINDS, FleetResult

# Value share that the users require on days with faults, at their harder site.
MIN_VALUE_SHARE = 0.72
# A kind starves if its served share falls below this fraction of the overall one.
STARVED_KIND_SHARE = 0.25
# The largest tenth starves below this fraction of its kind's served share.
STARVED_SIZE_SHARE = 0.5


def share_within_deadline(result, condition):
    selected = [request for request in result.requests if condition(request)]
    return sum(request.has_met_deadline for request in selected) / len(selected)


def check_nothing_starves(result: FleetResult) -> None:
    all_share = share_within_deadline(result, lambda request: True)
    for kind in REQUEST_KINDS:
        of_kind = [r for r in result.requests if r.kind.name == kind.name]
        share = share_within_deadline(result, lambda r, k=kind: r.kind.name == k.name)
        assert share >= STARVED_KIND_SHARE * all_share, kind.name
        sizes = sorted(request.relative_size for request in of_kind)
        large = sizes[int(0.9 * len(sizes))]
        large_share = share_within_deadline(
            result,
            lambda r, k=kind, s=large: r.kind.name == k.name and r.relative_size >= s,
        )
        assert large_share >= STARVED_SIZE_SHARE * share, kind.name
