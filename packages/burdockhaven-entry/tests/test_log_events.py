"""Numbered events: their catalogue, its page and the written lines."""

import ast
import io
import logging
import re
from pathlib import Path
from string import Formatter

import msgspec
import pytest

from burdockhaven_core.actions import LogEvent
from burdockhaven_core.log_numbers import EventNumber
from burdockhaven_entry.log_catalogue import CATALOGUE, catalogue_rows
from burdockhaven_entry.log_events import configure_logging, log, log_note

ROOT = Path(__file__).parents[3]
PAGE = ROOT / "docs" / "EVENTS.md"
SOURCES = sorted(ROOT.glob("packages/*/src/**/*.py"))


def calls_with_events():
    """Each call that names an event first: its place, event and keyword names."""
    for path in SOURCES:
        for node in ast.walk(ast.parse(path.read_text())):
            if not isinstance(node, ast.Call) or not node.args:
                continue
            first = node.args[0]
            if not isinstance(first, ast.Attribute):
                continue
            if ast.unparse(node.func) == "EventSpec":
                continue
            if ast.unparse(first.value) == "EventNumber":
                names = {keyword.arg for keyword in node.keywords}
                yield f"{path.name}:{node.lineno}", EventNumber[first.attr], names


@pytest.fixture(autouse=True)
def _restore_logging():
    yield
    configure_logging("text", "info")


@pytest.mark.parametrize("number", list(EventNumber))
def test_each_event_is_in_the_catalogue_with_its_fields(number):
    spec = CATALOGUE[number]
    used = {name for _, name, _, _ in Formatter().parse(spec.message) if name}
    assert used <= set(spec.fields)
    assert spec.level in ("debug", "info", "warning", "error")


def test_the_page_and_the_catalogue_agree_both_ways():
    rows = [line for line in PAGE.read_text().splitlines() if re.match(r"\| \d", line)]
    assert rows == catalogue_rows()


def test_each_call_gives_the_fields_that_the_catalogue_names():
    wrong = [
        f"{place}: {event.name} gets {sorted(names)}"
        for place, event, names in calls_with_events()
        if CATALOGUE[event].fields.keys() != names
    ]
    assert wrong == []


def test_what_libraries_log_becomes_an_event():
    out = io.StringIO()
    configure_logging("text", "info", out)
    logging.getLogger("uvicorn.error").warning("port %s is taken", 8100)
    assert "106 LIBRARY_MESSAGE uvicorn.error: port 8100 is taken" in out.getvalue()


def test_a_json_line_holds_the_number_and_the_fields():
    out = io.StringIO()
    configure_logging("json", "info", out)
    log(EventNumber.TARGET_STRAGGLING, target="engine-1", factor=4.5)
    line = msgspec.json.decode(out.getvalue())
    assert line["number"] == 502
    assert line["event"] == "TARGET_STRAGGLING"
    assert line["level"] == "warning"
    assert line["fields"] == {"target": "engine-1", "factor": 4.5}
    assert line["message"] == "Target engine-1 is 4.5 times slower than its group."


def test_a_text_line_names_level_number_and_event():
    out = io.StringIO()
    configure_logging("text", "info", out)
    log_note(LogEvent(EventNumber.TARGET_LEAVING, {"target": "engine-1"}))
    assert re.search(r" INFO +501 TARGET_LEAVING Target engine-1 is", out.getvalue())


def test_a_value_cannot_forge_a_line_nor_flood_the_log():
    out = io.StringIO()
    configure_logging("text", "info", out)
    log(EventNumber.BAD_PEER_MESSAGE, peer="x\n2026 INFO {y}", detail="z" * 10_000)
    assert len(out.getvalue().splitlines()) == 1
    assert len(out.getvalue()) < 1500


def test_a_missing_field_does_not_stop_the_event():
    out = io.StringIO()
    configure_logging("text", "info", out)
    log(EventNumber.READY)
    assert "102 READY Entry ? takes" in out.getvalue()


def test_levels_below_the_one_set_are_not_logged():
    out = io.StringIO()
    configure_logging("text", "warning", out)
    log(EventNumber.READY, entry="a", address="b")
    assert out.getvalue() == ""
