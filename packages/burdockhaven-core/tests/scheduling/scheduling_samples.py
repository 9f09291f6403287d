"""Sample routes, accounts, targets and messages for the scheduling tests."""

from burdockhaven_core.scheduling.peer_messages import (
    Heartbeat,
    MemberId,
    PlacementRequest,
)
from burdockhaven_core.scheduling.routing import (
    Account,
    ClientLimits,
    EngineLimits,
    Route,
    RouteKind,
    RoutingTable,
    Service,
    ServiceShare,
)
from burdockhaven_core.scheduling.target_registry import TargetEntry

ENGINES = "engines"
ME = MemberId("entry-1", 1)


def route(prefix="/a/", host="one.example", **changes):
    values = {
        "name": f"r{prefix}",
        "host": host,
        "prefix": prefix,
        "kind": RouteKind.STREAMING,
        "timeout_s": 15.0,
        "objective_s": 0.6,
        "pause_objective_s": 0.3,
        "client_timeout_s": 2.4,
        "priority": 0,
        "shares": (ServiceShare(ENGINES, 1.0),),
        "max_attempts": 2,
        "public": False,
        "sticky": True,
        "resumable": True,
    }
    return Route(**(values | changes))


def account(name="acme", rate_per_s=0.0, burst=0.0, **changes):
    values = {
        "priority": None,
        "counts_tokens": True,
        "default_tokens": 200,
    }
    return Account(name=name, rate_per_s=rate_per_s, burst=burst, **(values | changes))


def table(version=1, routes=None, accounts=(), slots=2):
    found = tuple(routes) if routes is not None else (route(),)
    return RoutingTable.from_parts(
        version=version,
        routes=found,
        services={ENGINES: Service(ENGINES, 100, EngineLimits(slots, 800_000, 6))},
        account_of_key={f"key-{a.name}": a for a in accounts},
        limits=ClientLimits(16_384, 4_194_304, 3.0, 15.0),
    )


def target(name="i-1", service=ENGINES, slots=2, **changes):
    values = {
        "address": "10.0.0.1:80",
        "zone": "a",
        "draining": False,
        "started_ms": 1,
        "sequence": 1,
    }
    return TargetEntry(id=name, service=service, slots=slots, **(values | changes))


def placement_request(number=1, sender=ME, **changes):
    values = {
        "service": ENGINES,
        "route": "r",
        "account": "",
        "priority": 0,
        "route_priority": 0,
        "prompt_tokens": 1_000,
        "output_tokens": 100,
        "parts": (),
        "objective_ms": 600,
        "client_timeout_ms": 15_000,
        "deadline_ms": 15_000,
        "pause_objective_ms": 300,
    }
    return PlacementRequest(sender=sender, number=number, **(values | changes))


def heartbeat(node="entry-2", incarnation=2, started_ms=2, **changes):
    values = {
        "sequence": 1,
        "peer_address": f"{node}:7600",
        "control_address": f"{node}:1",
        "front_address": f"{node}:2",
        "zone": "a",
        "ready": True,
        "draining": False,
        "config_version": 1,
    }
    return Heartbeat(
        sender=MemberId(node, incarnation), started_ms=started_ms, **(values | changes)
    )
