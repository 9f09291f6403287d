import asyncio

import pytest

from burdockhaven_core.log_numbers import EventNumber
from burdockhaven_entry.gateway import store_era
from burdockhaven_entry.gateway.store_era import RestorePart, StoreEras


@pytest.fixture
def logged(monkeypatch):
    found = []
    monkeypatch.setattr(
        store_era, "log", lambda number, **fields: found.append((number, fields))
    )
    return found


@pytest.mark.parametrize(
    ("observed", "current", "restores"),
    [
        ([3], 3, 0),
        ([3, 3], 3, 0),
        ([3, 4], 4, 1),
        ([3, 5, 4], 5, 1),
        ([3, 4, 6], 6, 2),
    ],
)
def test_only_a_higher_era_is_a_restore(observed, current, restores, logged):
    eras = StoreEras(lambda: 0.0)
    for era in observed:
        eras.observe(era, "store")
    assert (eras.current, eras.restores) == (current, restores)
    assert len(logged) == restores


def test_unreadable_era_is_logged_once_and_counts_as_the_current_one(logged):
    eras = StoreEras(lambda: 0.0)
    assert eras.record_response(4, "4") == 4
    assert eras.record_response(None, "") == 4
    assert eras.record_response(None, "four") == 4
    assert logged == [(EventNumber.STORE_ERA_UNREADABLE, {"value": "nothing"})]


def test_end_of_a_restore_is_logged_once_all_parts_are_repeated(logged):
    times_s = iter([1.0, 2.5])
    eras = StoreEras(lambda: next(times_s))
    eras.observe(1, "store")
    eras.observe(2, "entry-2")
    for part in RestorePart:
        eras.mark_done(part, 1)
    assert eras.pending == set(RestorePart)
    for part in RestorePart:
        eras.mark_done(part, 2)
        eras.mark_done(part, 2)
    assert logged == [
        (EventNumber.STORE_ERA_RAISED, {"old": 1, "new": 2, "source": "entry-2"}),
        (EventNumber.STORE_RESTORED, {"era": 2, "seconds": 1.5}),
    ]


async def test_waiters_are_woken_by_a_higher_era():
    eras = StoreEras(lambda: 0.0)
    eras.observe(1, "store")
    waiting = asyncio.create_task(eras.wait_beyond(1))
    await asyncio.sleep(0)
    eras.observe(1, "store")
    await asyncio.sleep(0)
    assert not waiting.done()
    eras.observe(2, "store")
    await waiting
    await eras.wait_beyond(1)
    assert eras.waiters == set()
