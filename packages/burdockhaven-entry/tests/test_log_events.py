"""Numbered events: their catalogue, its page and the written lines."""

import io
import re
from pathlib import Path
from string import Formatter

import msgspec
import pytest

from burdockhaven_core.actions import Note
from burdockhaven_core.log_numbers import EventNumber
from burdockhaven_entry.log_catalogue import CATALOGUE, catalogue_rows
from burdockhaven_entry.log_events import configure_logging, log, log_note

PAGE = Path(__file__).parents[3] / "docs" / "EVENTS.md"


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
    log_note(Note(EventNumber.TARGET_LEAVING, {"target": "engine-1"}))
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
