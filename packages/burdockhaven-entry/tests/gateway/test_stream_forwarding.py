import asyncio
import math
import re

import aiohttp
import pytest
from gateway_fixtures import (
    REJECTED,
    SIGNATURE,
    EndlessResponse,
    Gateway,
    Script,
    hang,
    reset_connection,
    respond,
    response_head,
    routing_table,
    send_raw,
    send_reset,
    stream_events,
    wait_until,
    write_chunk,
)


def numbered_events(first, last):
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


async def test_events_are_forwarded_unchanged(start):
    gateway = await start(engines=[Script(stream_events(1, 5))])
    response = await gateway.call("/stream/x", b"ask")
    assert (response.status, response.body) == (200, numbered_events(1, 5))
    assert response.headers["X-Burdockhaven-Response-Signature"] == "sig"


@pytest.mark.parametrize("rest", [b"", b"id: 4\nda"])
async def test_broken_stream_resumes_on_another_engine(start, rest):
    script = Script(
        stream_events(1, 3, end=False, reset=True, rest=rest), stream_events(4, 6)
    )
    gateway = await start(engines=[script, script])
    response = await gateway.call("/stream/x")
    assert response.body == numbered_events(1, 6)
    resumed = next(
        request for request in gateway.received if "Last-Event-Id" in request.headers
    )
    assert resumed.headers["Last-Event-Id"] == "3"


async def test_forwarded_events_are_not_repeated_after_a_resume(start):
    script = Script(stream_events(1, 3, end=False, reset=True), stream_events(1, 6))
    gateway = await start(engines=[script, script])
    assert (await gateway.call("/stream/x")).body == numbered_events(1, 6)


async def test_broken_stream_without_resume_is_not_terminated_cleanly(start):
    script = Script(stream_events(1, 3, end=False, reset=True), stream_events(1, 9))
    gateway = await start(engines=[script, script])
    with pytest.raises(aiohttp.ClientPayloadError):
        await gateway.call("/once/x")
    assert len(gateway.received) == 1


async def test_reset_before_first_event_is_final_without_resume(start):
    gateway = await start(engines=[Script(reset_connection), Script(reset_connection)])
    assert (await gateway.call("/once/x")).status == 502
    assert len(gateway.received) == 1


async def test_rejected_stream_is_placed_on_another_engine(start):
    gateway = await start(engines=[Script(REJECTED), Script(REJECTED)])
    response = await gateway.call("/once/x")
    assert response.status == 503
    assert "Retry-After" in response.headers
    assert len(gateway.received) == 2


async def test_engine_failure_is_forwarded_if_no_other_run_succeeds(start):
    failed = respond(b"no", "500 Internal Server Error")
    gateway = await start(engines=[Script(failed), Script(failed)])
    response = await gateway.call("/stream/x")
    assert (response.status, response.body) == (500, b"no")
    assert len(gateway.received) == 2


async def test_stream_moves_from_a_silent_engine(start):
    script = Script(hang, stream_events(1, 2))
    gateway = await start(engines=[script, script])
    assert (await gateway.call("/stream/x")).body == numbered_events(1, 2)


async def test_every_run_end_releases_its_slot(start):
    gateway = await start(
        engines=[
            Script(reset_connection, stream_events(1, 2), REJECTED, stream_events(1, 2))
        ]
    )
    for path in ("/once/x", "/stream/x", "/once/x", "/stream/x"):
        await gateway.call(path)
    gateway.frontend.streams.placement_client.flush_progress()
    assert all(not e.runs for e in gateway.state.broker.runs.engines.values())
    assert gateway.frontend.streams.placement_client.runs == {}


async def test_client_disconnect_ends_the_run(start):
    gateway = await start(engines=[Script(hang)])
    await gateway.call_and_disconnect("/once/x")
    await gateway.targets[0].closed.wait()
    assert gateway.frontend.streams.placement_client.runs == {}


async def test_refusal_without_engines_carries_retry_after(start):
    gateway = await start()
    headers = {"X-Burdockhaven-Deadline-Ms": "200"}
    response = await gateway.call("/stream/x", headers=headers)
    assert response.status == 503
    assert "Retry-After" in response.headers


async def test_account_quota_is_enforced(start):
    gateway = await start(
        engines=[Script(stream_events(1, 2))], table=routing_table(rate_per_s=20.0)
    )
    statuses = [(await gateway.call("/stream/x")).status for _ in range(3)]
    assert statuses == [200, 429, 429]
    assert len(gateway.received) == 1


def stream_after(delay_s, first, last):
    async def behave(request, reader, writer):
        await asyncio.sleep(delay_s)
        return await stream_events(first, last)(request, reader, writer)

    return behave


# Guards against a slow stream that is given up although no other engine can be tried.
async def test_slow_first_event_is_awaited_if_no_other_engine_can_be_tried():
    gateway = await Gateway.start(engines=[Script(stream_after(1.5, 1, 2))])
    answered = await gateway.call("/stream/")
    assert answered.status == 200
    assert answered.body.count(b"data:") == 2
    assert len(gateway.received) == 1
    await gateway.stop()


async def test_slow_first_event_is_awaited_if_the_retry_budget_is_used_up(monkeypatch):
    gateway = await Gateway.start(
        engines=[Script(stream_after(1.5, 1, 2)), Script(stream_events(1, 2))]
    )
    monkeypatch.setattr(
        gateway.state.retry_budget, "try_acquire", lambda *arguments: False
    )
    for _ in range(2):
        assert (await gateway.call("/stream/")).status == 200
    assert len(gateway.received) == 2
    await gateway.stop()


def silent_before(event, last, silence_s=1.5):
    """Send the head and the events up to `last`, with a silence before one of them."""

    async def behave(request, reader, writer):
        await stream_events(1, event - 1, end=False)(request, reader, writer)
        await asyncio.sleep(silence_s)
        for number in range(event, last + 1):
            write_chunk(writer, b"id: %d\ndata: %d\n\n" % (number, number))
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True

    return behave


def set_idle_engines_ejected(gateway, until_s):
    for engine in gateway.state.broker.runs.engines.values():
        if not engine.runs:
            engine.ejected_until_s = until_s


SILENCES = {
    "before the head": stream_after(1.5, 1, 4),
    "before the first event": silent_before(1, 4),
    "between events": silent_before(3, 4),
}


# Guards against LOST: a request without a complete response, because its engine was
# silent for a moment and no other engine had room.
@pytest.mark.parametrize("silent", SILENCES.values(), ids=SILENCES.keys())
async def test_silent_engine_is_not_given_up_while_no_other_has_room(start, silent):
    async def behave(request, reader, writer):
        set_idle_engines_ejected(gateway, math.inf)
        return await silent(request, reader, writer)

    gateway = await start(engines=[Script(behave), Script(behave)])
    response = await gateway.call("/stream/x")
    assert (response.status, response.body) == (200, numbered_events(1, 4))
    assert len(gateway.received) == 1


# Guards against LOST: a stream is cut after a silence, because the engine that should
# continue it rejects it.
async def test_silent_stream_continues_after_another_engine_rejects_it(start):
    script = Script(silent_before(3, 4), REJECTED, stream_events(3, 4))
    gateway = await start(engines=[script, script])
    response = await gateway.call("/stream/x")
    assert (response.status, response.body) == (200, numbered_events(1, 4))


# Guards against LOST: a stream that is older than the time that clients wait for a
# first event is cut, because its next placement counts as too late.
async def test_old_stream_waits_for_an_engine_after_its_own_breaks_off(start):
    def readmit_engines():
        set_idle_engines_ejected(gateway, 0.0)
        placement_client.flush_progress()
        placement_client.grant_queued()

    async def break_off(request, reader, writer):
        set_idle_engines_ejected(gateway, math.inf)
        await stream_events(1, 2, end=False)(request, reader, writer)
        for number in (3, 4, 5):
            await asyncio.sleep(0.9)
            write_chunk(writer, b"id: %d\ndata: %d\n\n" % (number, number))
        await writer.drain()
        asyncio.get_running_loop().call_later(0.3, readmit_engines)
        await asyncio.sleep(0.05)
        writer.transport.abort()
        return False

    script = Script(break_off, stream_events(6, 7))
    gateway = await start(engines=[script, script])
    placement_client = gateway.frontend.streams.placement_client
    response = await gateway.call("/stream/x")
    assert (response.status, response.body) == (200, numbered_events(1, 7))


LARGE_PIECE = bytes(2**16)
REJECTION_HEAD = response_head(
    "X-Burdockhaven-Not-Executed: 1\r\n", "503 Service Unavailable", signature=""
)


# Guards against a rejection that counts as a possible run, or is awaited until the
# deadline, because of its body.
@pytest.mark.parametrize("repeated", [LARGE_PIECE, b""])
async def test_rejected_stream_is_placed_again_whatever_its_body(start, repeated):
    endless = EndlessResponse(REJECTION_HEAD, repeated)
    script = Script(endless, stream_events(1, 2))
    gateway = await start(engines=[script, script])
    response = await gateway.call("/once/x")
    assert (response.status, response.body) == (200, numbered_events(1, 2))
    await wait_until(lambda: any(target.closed.is_set() for target in gateway.targets))
    assert endless.was_cut


STREAM_HEAD = response_head("Content-Type: text/event-stream\r\n")
# Bytes that hold no event, however many come.
NO_EVENTS = [
    pytest.param(b"x" * 2**15, id="event without a blank line"),
    pytest.param(b"\n" * 2**10, id="blank lines"),
    pytest.param(b": comment\n\n" * 100, id="comments"),
    pytest.param(b"no field\n\n" * 100, id="unknown fields"),
]


def received_ids(body):
    return [int(number) for number in re.findall(rb"^id: (\d+)$", body, re.MULTILINE)]


# Guards against a stream that fills the memory, or is not resumed, because its engine
# sends bytes without end that hold no event.
@pytest.mark.parametrize("delivered", [0, 3])
@pytest.mark.parametrize("repeated", NO_EVENTS)
async def test_stream_without_events_is_resumed(start, repeated, delivered):
    endless = EndlessResponse(STREAM_HEAD + numbered_events(1, delivered), repeated)
    script = Script(endless, stream_events(delivered + 1, 6))
    gateway = await start(engines=[script, script])
    response = await gateway.call("/stream/x")
    assert received_ids(response.body) == [1, 2, 3, 4, 5, 6]
    await wait_until(lambda: any(target.closed.is_set() for target in gateway.targets))
    assert endless.was_cut


# Guards against a stream that looks complete to its client after bytes without events.
@pytest.mark.parametrize("repeated", NO_EVENTS)
async def test_stream_without_events_is_truncated_without_resume(start, repeated):
    endless = EndlessResponse(STREAM_HEAD + numbered_events(1, 3), repeated)
    gateway = await start(engines=[Script(endless), Script(respond())])
    with pytest.raises(aiohttp.ClientPayloadError):
        await gateway.call("/once/x")
    assert (endless.was_cut, len(gateway.received)) == (True, 1)


# Guards against a bound that cuts large events, or counts a whole stream.
async def test_large_events_and_comments_are_forwarded_whole(start):
    event = b"id: %d\ndata: " + b"x" * 800_000 + b"\n\n: comment\n\n"
    events = b"".join(event % number for number in range(1, 6))

    async def behave(request, reader, writer):
        attempt = request.headers["X-Burdockhaven-Attempt-Id"].encode()
        writer.write(STREAM_HEAD.replace(b"ID", attempt) + events)
        await writer.drain()
        return False

    gateway = await start(engines=[Script(behave)])
    assert (await gateway.call("/once/x")).body == events


def close_delimited_stream(first, last, *, rest=b"", reset=False):
    """Send events without a length or chunks, then close or reset the connection."""
    events = numbered_events(first, last) + rest

    async def behave(request, reader, writer):
        await send_raw(STREAM_HEAD + events)(request, reader, writer)
        if reset:
            await asyncio.sleep(0.05)
            send_reset(writer)
        return False

    return behave


async def test_close_delimited_stream_is_complete_at_the_end_of_an_event(start):
    gateway = await start(engines=[Script(close_delimited_stream(1, 3))])
    response = await gateway.call("/stream/x")
    assert (response.status, response.body) == (200, numbered_events(1, 3))
    assert len(gateway.received) == 1


# Runs that broke off, though their connections were closed in order in three of them.
BROKEN_OFF = [
    pytest.param(close_delimited_stream(1, 3, rest=b"id: 4\nda"), 3, id="event"),
    pytest.param(close_delimited_stream(1, 3, rest=b"id: 4\ndata: 4\n"), 3, id="line"),
    pytest.param(close_delimited_stream(1, 3, reset=True), 3, id="reset"),
    pytest.param(close_delimited_stream(1, 0), 0, id="no event"),
]


# Guards against a stream without length or chunks that ends too early and looks whole.
@pytest.mark.parametrize(("broken", "last"), BROKEN_OFF)
async def test_broken_close_delimited_stream_is_resumed(start, broken, last):
    script = Script(broken, close_delimited_stream(last + 1, 6))
    gateway = await start(engines=[script, script])
    response = await gateway.call("/stream/x")
    assert response.body == numbered_events(1, 6)
    resumed_at = {request.headers.get("Last-Event-Id") for request in gateway.received}
    assert resumed_at == ({None, str(last)} if last else {None})


# Guards against a broken-off stream that its client takes for complete.
@pytest.mark.parametrize(("broken", "last"), BROKEN_OFF)
async def test_broken_close_delimited_stream_is_truncated(start, broken, last):
    gateway = await start(engines=[Script(broken), Script(respond())])
    with pytest.raises(aiohttp.ClientPayloadError):
        await gateway.call("/once/x")
    assert len(gateway.received) == 1


# Guards against a broken stream that looks whole after a run that ends at its head.
async def test_resumed_run_without_length_and_events_is_broken_off(start):
    script = Script(
        close_delimited_stream(1, 3, rest=b"id"), close_delimited_stream(1, 0)
    )
    gateway = await start(engines=[script, script])
    with pytest.raises(aiohttp.ClientPayloadError):
        await gateway.call("/stream/x")


async def test_resumed_run_with_chunks_may_have_no_events(start):
    script = Script(close_delimited_stream(1, 3, reset=True), stream_events(4, 3))
    gateway = await start(engines=[script, script])
    response = await gateway.call("/stream/x")
    assert (response.status, response.body) == (200, numbered_events(1, 3))


# Guards against events of a run whose response is not valid, within a resumed stream.
@pytest.mark.parametrize(
    ("fields", "signature"),
    [("", ""), ("Content-Encoding: gzip\r\n", SIGNATURE)],
)
async def test_resumed_stream_takes_no_events_of_an_invalid_response(
    start, fields, signature
):
    head = response_head(
        f"Content-Type: text/event-stream\r\n{fields}", signature=signature
    )
    broken = close_delimited_stream(1, 3, rest=b"id")
    invalid = send_raw(head + b"id: 4\ndata: other\n\n")
    gateway = await start(engines=[Script(broken, invalid)] * 2)
    with pytest.raises(aiohttp.ClientPayloadError):
        await gateway.call("/stream/x")
    assert len(gateway.received) == 2


# Guards against an error response without end that holds a stream until its deadline.
@pytest.mark.parametrize(
    "head",
    [
        pytest.param(response_head(status="500 Internal Server Error"), id="error"),
        pytest.param(response_head("Content-Type: text/plain\r\n"), id="no stream"),
        pytest.param(response_head(signature=""), id="without a signature"),
    ],
)
async def test_endless_response_that_is_no_stream_is_cut(start, head):
    endless = EndlessResponse(head, LARGE_PIECE)
    script = Script(endless, stream_events(1, 2))
    gateway = await start(engines=[script, script])
    response = await gateway.call("/stream/x")
    assert (response.status, response.body) == (200, numbered_events(1, 2))
    assert endless.was_cut


# Guards against an event id that looks like a number and ends its request.
@pytest.mark.parametrize("id_", [b"\xb2", b"9" * 5_000])
async def test_event_id_that_is_no_number_is_forwarded(start, id_):
    event = b"id: " + id_ + b"\ndata: x\n\n"
    script = Script(send_raw(STREAM_HEAD + event * 2))
    gateway = await start(engines=[script])
    response = await gateway.call("/stream/x")
    assert (response.status, response.body) == (200, event * 2)
