"""Tests that pages of the documentation agree with the code."""

import re
from pathlib import Path

import pytest

from burdockhaven_core.outcome import NotRunReason, UnknownReason
from burdockhaven_entry.caller_api import STATUS_BY_REASON, STATUS_UNAVAILABLE

ROOT = Path(__file__).parents[2]
CALLERS = (ROOT / "docs" / "CALLERS.md").read_text()
MAP = (ROOT / "docs" / "MAP.md").read_text()
PACKAGES = ("core", "entry", "ctl")


def table_rows(page):
    """Return the cells of each table row on a page."""
    lines = [line for line in page.splitlines() if line.startswith("| ")]
    return [[cell.strip() for cell in line.strip("|").split("|")] for line in lines]


@pytest.mark.parametrize("reason", list(NotRunReason))
def test_callers_page_lists_each_refusal_with_its_status(reason):
    status = str(STATUS_BY_REASON.get(reason, STATUS_UNAVAILABLE))
    rows = [row for row in table_rows(CALLERS) if row[0] == f"`{reason.value}`"]
    assert [status] in [row[1:2] for row in rows]


@pytest.mark.parametrize("reason", list(UnknownReason))
def test_callers_page_lists_each_unknown_reason(reason):
    assert any(row[0] == f"`{reason.value}`" for row in table_rows(CALLERS))


def test_modules_on_the_map_exist():
    names = {
        path.name
        for package in PACKAGES
        for path in (ROOT / "packages" / f"burdockhaven-{package}").rglob("*.py")
    }
    named = set(re.findall(r"[`/]([a-z_]+\.py)`", MAP)) - {"entry_node.py"}
    assert named
    assert named <= names


@pytest.mark.parametrize("page", sorted((ROOT / "docs").glob("*.md")))
def test_links_between_pages_resolve(page):
    links = re.findall(r"\]\((?!https?:)([^)#]+)", page.read_text())
    assert [link for link in links if not (page.parent / link).exists()] == []
