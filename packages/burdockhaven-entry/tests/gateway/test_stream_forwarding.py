import aiohttp
import pytest
from gateway_fixtures import (
    REJECTED,
    Gateway,
    Script,
    answer,
    events,
    hang,
    reset,
    routing_table,
)


def numbered(first, last):
    return b"".join(b"id: %d\ndata: %d\n\n" % (n, n) for n in range(first, last + 1))


@pytest.fixture
async def start():
    started = []

    async def make(**options):
        started.append(await Gateway.start(**options))
        return started[-1]

    yield make
    for gateway in started:
        await gateway.stop()


async def test_events_pass_as_they_are(start):
    gateway = await start(engines=[Script(events(1, 5))])
    response = await gateway.call("/stream/x", b"ask")
    assert (response.status, response.body) == (200, numbered(1, 5))
    assert response.headers["X-Burdockhaven-Response-Signature"] == "sig"


@pytest.mark.parametrize("rest", [b"", b"id: 4\nda"])
async def test_a_stream_that_breaks_goes_on_at_another_engine(start, rest):
    script = Script(events(1, 3, end=False, reset=True, rest=rest), events(4, 6))
    gateway = await start(engines=[script, script])
    response = await gateway.call("/stream/x")
    assert response.body == numbered(1, 6)
    second = next(got for got in gateway.received if "Last-Event-Id" in got.headers)
    assert second.headers["Last-Event-Id"] == "3"


async def test_events_that_were_passed_on_are_not_repeated(start):
    script = Script(events(1, 3, end=False, reset=True), events(1, 6))
    gateway = await start(engines=[script, script])
    assert (await gateway.call("/stream/x")).body == numbered(1, 6)


async def test_a_stream_that_may_not_resume_does_not_look_whole_when_it_breaks(start):
    script = Script(events(1, 3, end=False, reset=True), events(1, 9))
    gateway = await start(engines=[script, script])
    with pytest.raises(aiohttp.ClientPayloadError):
        await gateway.call("/once/x")
    assert len(gateway.received) == 1


async def test_a_reset_before_the_first_event_is_final_where_nothing_may_repeat(start):
    gateway = await start(engines=[Script(reset), Script(reset)])
    assert (await gateway.call("/once/x")).status == 502
    assert len(gateway.received) == 1


async def test_a_rejected_stream_is_placed_elsewhere(start):
    gateway = await start(engines=[Script(REJECTED), Script(REJECTED)])
    response = await gateway.call("/once/x")
    assert response.status == 503
    assert "Retry-After" in response.headers
    assert len(gateway.received) == 2


async def test_a_failure_of_the_engine_is_passed_on_if_no_other_run_succeeds(start):
    failed = answer(b"no", "500 Internal Server Error")
    gateway = await start(engines=[Script(failed), Script(failed)])
    response = await gateway.call("/stream/x")
    assert (response.status, response.body) == (500, b"no")
    assert len(gateway.received) == 2


async def test_a_silent_engine_is_left_for_another_in_time(start):
    script = Script(hang, events(1, 2))
    gateway = await start(engines=[script, script])
    assert (await gateway.call("/stream/x")).body == numbered(1, 2)


async def test_slots_are_free_again_after_every_end(start):
    gateway = await start(engines=[Script(reset, events(1, 2), REJECTED, events(1, 2))])
    for path in ("/once/x", "/stream/x", "/once/x", "/stream/x"):
        await gateway.call(path)
    gateway.front.streams.placer.flush_news()
    assert all(not e.runs for e in gateway.state.broker.runs.engines.values())
    assert gateway.front.streams.placer.runs == {}


async def test_a_client_that_leaves_ends_the_run(start):
    gateway = await start(engines=[Script(hang)])
    await gateway.leave("/once/x")
    await gateway.targets[0].closed.wait()
    assert gateway.front.streams.placer.runs == {}


async def test_without_an_engine_the_refusal_is_at_once_and_true(start):
    gateway = await start()
    headers = {"X-Burdockhaven-Deadline-Ms": "200"}
    response = await gateway.call("/stream/x", headers=headers)
    assert response.status == 503
    assert "Retry-After" in response.headers


async def test_the_quota_of_an_account_is_kept(start):
    gateway = await start(
        engines=[Script(events(1, 2))], table=routing_table(rate_per_s=20.0)
    )
    statuses = [(await gateway.call("/stream/x")).status for _ in range(3)]
    assert statuses == [200, 429, 429]
    assert len(gateway.received) == 1
