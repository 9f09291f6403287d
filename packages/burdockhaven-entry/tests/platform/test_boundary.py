"""Checks that the platform's names stay in the adapter, which has no decision logic."""

import ast
import re
from pathlib import Path

from source_parsing import parse_source

import burdockhaven_core
import burdockhaven_entry

ENTRY = Path(burdockhaven_entry.__file__).parent
CORE = Path(burdockhaven_core.__file__).parent
ADAPTER = ENTRY / "platform"
WIRE_NAMES = re.compile(
    r"x-burdockhaven-|/-/|store_revision|cold_left_ms|allow_stale|expect_rev"
    r"|kv_capacity|max_conns|target_latency_ms|api_keys|uncached_tokens"
    r"|BURDOCKHAVEN_SETTINGS|op/config",
    re.IGNORECASE,
)
# Modules with plain types into which the adapter decodes.
TYPES = {
    "burdockhaven_core.key_value_failure",
    "burdockhaven_core.scheduling.routing",
    "burdockhaven_core.scheduling.target_observation",
    "burdockhaven_core.scheduling.target_registry",
    "burdockhaven_core.value_ranges",
}


def test_no_wire_name_is_used_outside_the_adapter():
    violations = []
    for folder in (ENTRY, CORE):
        for path in folder.rglob("*.py"):
            if ADAPTER in path.parents:
                continue
            for number, line in enumerate(path.read_text().splitlines(), 1):
                if WIRE_NAMES.search(line):
                    violations.append(f"{path.name}:{number}: {line.strip()}")
    assert violations == []


def test_adapter_imports_no_decision_logic():
    violations = []
    for path in ADAPTER.rglob("*.py"):
        for node in ast.walk(parse_source(path)):
            if not isinstance(node, ast.ImportFrom) or node.module is None:
                continue
            name = node.module
            ours = name.startswith(("burdockhaven_core", "burdockhaven_entry"))
            own = name.startswith("burdockhaven_entry.platform")
            if ours and not own and name not in TYPES:
                violations.append(f"{path.name}: {name}")
    assert violations == []
