import json

import pytest

from burdockhaven_core.scheduling.routing import RouteKind, ServiceShare
from burdockhaven_entry.platform import ConfigurationError, read_configuration

ROUTE = {
    "name": "r1",
    "host": "one.example",
    "prefix": "/a/",
    "kind": "streaming",
    "timeout_ms": 15000,
    "target_latency_ms": 600,
    "priority": 2,
    "service": "engines",
    "max_attempts": 2,
    "sticky": True,
    "resumable": True,
    "target_gap_ms": 300,
}
CONFIGURATION = {
    "version": 7,
    "routes": [ROUTE],
    "services": [
        {
            "name": "engines",
            "max_conns": 370,
            "engine": {"slots": 12, "kv_capacity": 791555, "stride": 6},
        },
        {"name": "plain", "max_conns": 110},
    ],
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 4194304,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    },
    "tenants": [
        {
            "name": "acme",
            "api_keys": ["k1", "k2"],
            "priority": 1,
            "unit": "tokens",
            "uncached_tokens": 200,
            "rate_per_s": 1000,
            "burst": 500,
        }
    ],
}


def read(**changes):
    return read_configuration(json.dumps(CONFIGURATION | changes).encode())


def test_names_and_units_are_translated():
    table = read()
    (route,) = table.routes
    assert table.version == 7
    assert route.kind is RouteKind.STREAMING
    assert (route.timeout_s, route.objective_s, route.pause_objective_s) == (
        15,
        0.6,
        0.3,
    )
    assert table.services["engines"].engine.tokens_per_event == 6
    assert table.services["plain"].engine is None
    assert table.account_of_key["k2"].counts_tokens
    assert table.limits.idle_timeout_s == 15


def test_split_replaces_service():
    split = [{"service": "x", "weight": 90}, {"service": "y", "weight": 10}]
    route = {k: v for k, v in ROUTE.items() if k != "service"} | {"split": split}
    (decoded,) = read(routes=[route]).routes
    assert decoded.shares == (ServiceShare("x", 90), ServiceShare("y", 10))


def test_no_api_key_is_required_without_tenants():
    raw = {k: v for k, v in CONFIGURATION.items() if k != "tenants"}
    assert read_configuration(json.dumps(raw).encode()).account_of_key is None


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"{",
        b"[]",
        b'{"routes":[]}',
        b'{"version":"x"}',
        b"\xff\xfe",
        b'{"other":' + b"[" * 100_000,
        json.dumps({"version": 1, "routes": [ROUTE | {"kind": "odd"}]}).encode(),
        json.dumps(
            {
                "version": 1,
                "routes": [{k: v for k, v in ROUTE.items() if k != "service"}],
            }
        ).encode(),
    ],
)
def test_invalid_configuration_is_an_error(data):
    with pytest.raises(ConfigurationError):
        read_configuration(data)


def changed(section, **changes):
    """Return the configuration with changes to the first item of a section."""
    parts = CONFIGURATION[section]
    first = (parts[0] if isinstance(parts, list) else parts) | changes
    return {section: [first] if isinstance(parts, list) else first}


# Guards against numbers that messages to members can't carry, and against times that
# raise an error wherever they are used.
@pytest.mark.parametrize(
    "changes",
    [
        {"version": 10**20},
        {"version": -1},
        changed("routes", timeout_ms=1e300),
        changed("routes", timeout_ms=-1),
        changed("routes", target_latency_ms=1e300),
        changed("routes", target_gap_ms=1e300),
        changed("routes", priority=10**20),
        changed("routes", max_attempts=10**20),
        changed("routes", service=None, split=[{"service": "x", "weight": -1}]),
        changed("services", max_conns=10**20),
        changed("services", engine={"slots": 10**20}),
        changed("services", engine={"slots": 1, "kv_capacity": 10**20}),
        changed("tenants", priority=-(10**20)),
        changed("tenants", uncached_tokens=10**20),
        changed("tenants", rate_per_s=1e300),
        changed("limits", max_body_bytes=10**20),
        changed("limits", header_timeout_ms=1e300),
    ],
)
def test_configuration_with_a_number_out_of_range_is_an_error(changes):
    with pytest.raises(ConfigurationError):
        read(**changes)
