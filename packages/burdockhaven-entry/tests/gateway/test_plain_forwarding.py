import asyncio
import random

import pytest
from gateway_fixtures import (
    ATTEMPT,
    REJECTED,
    SIGNATURE,
    EndlessResponse,
    Gateway,
    Script,
    hang,
    reset_connection,
    respond,
    respond_when_released,
    response_head,
    routing_table,
    send_raw,
    send_reset,
    wait_until,
)
from multidict import CIMultiDict, CIMultiDictProxy
from scheduling_samples import heartbeat

from burdockhaven_entry.gateway.plain_forwarding import PlainForwarder
from burdockhaven_entry.platform import read_response_head

FAILED = respond(b"no", "500 Internal Server Error")
CLOSE_DELIMITED = send_raw(
    b"HTTP/1.1 200 OK\r\n%s: ID\r\n%s\r\nwhole" % (ATTEMPT.encode(), SIGNATURE.encode())
)
TRUNCATED = send_raw(
    b"HTTP/1.1 200 OK\r\n%s: ID\r\n%sContent-Length: 50\r\n\r\npart"
    % (ATTEMPT.encode(), SIGNATURE.encode())
)
SURPLUS_RESPONSE = send_raw(
    b"HTTP/1.1 200 OK\r\n%s: ID\r\n%sContent-Length: 4\r\n\r\nmine"
    b"HTTP/1.1 200 OK\r\n%s: ID\r\n%sContent-Length: 4\r\n\r\nmore"
    % ((ATTEMPT.encode(), SIGNATURE.encode()) * 2)
)
GARBAGE = send_raw(b"\x00\x01 this is no answer\r\n\r\n")


@pytest.fixture
async def start():
    started = []

    async def make(**options):
        started.append(await Gateway.start(**options))
        return started[-1]

    yield make
    for gateway in started:
        await gateway.stop()


async def test_response_and_signature_are_forwarded_unchanged(start):
    gateway = await start(plain=[Script(respond(b"whole"))])
    response = await gateway.call("/safe/x?q=1%2F2", b"ask")
    assert (response.status, response.body) == (200, b"whole")
    assert response.headers["X-Burdockhaven-Response-Signature"] == "sig"
    (request,) = gateway.received
    assert request.line == "POST /safe/x?q=1%2F2 HTTP/1.1"
    assert request.body == b"ask"
    assert request.headers["X-Burdockhaven-Tenant"] == "acme"
    assert request.headers["X-Burdockhaven-Expect-Instance"] == "plain-0"
    assert request.headers["Host"] == "one.example"
    assert "Authorization" not in request.headers
    assert 0 < int(request.headers["X-Burdockhaven-Deadline-Ms"]) <= 5_000


async def reset_within_body(request, reader, writer):
    await CLOSE_DELIMITED(request, reader, writer)
    await asyncio.sleep(0.05)
    send_reset(writer)
    return False


# The behaviour of the target of the first attempt, and the status that the client
# receives for a safe and for an unsafe request; a second attempt would get 200.
FAULTS = [
    pytest.param(reset_connection, 200, 502, id="reset after the request"),
    pytest.param(TRUNCATED, 200, 502, id="truncated response"),
    pytest.param(reset_within_body, 200, 502, id="reset of a close-delimited body"),
    pytest.param(GARBAGE, 200, 502, id="bytes that are not HTTP"),
    pytest.param(FAILED, 200, 500, id="error response of the target"),
    pytest.param(respond(attempt="other"), 200, 502, id="response to another request"),
    pytest.param(respond(signature=""), 200, 502, id="success without a signature"),
    pytest.param(
        respond(extra="Content-Encoding: gzip\r\n"),
        200,
        502,
        id="content-encoded response",
    ),
    pytest.param(REJECTED, 200, 200, id="rejected by the target"),
    pytest.param(
        respond(b"", "421 Misdirected Request", signature=""),
        200,
        200,
        id="misdirected",
    ),
]


@pytest.mark.parametrize(("fault", "safe", "unsafe"), FAULTS)
async def test_safe_request_is_retried_after_any_failure(start, fault, safe, unsafe):
    script = Script(fault, respond())
    gateway = await start(plain=[script, script])
    assert (await gateway.call("/safe/x")).status == safe
    assert len(gateway.received) == 2


@pytest.mark.parametrize(("fault", "safe", "unsafe"), FAULTS)
async def test_unsafe_request_is_retried_only_if_it_has_not_run(
    start, fault, safe, unsafe
):
    script = Script(fault, respond())
    gateway = await start(plain=[script, script])
    assert (await gateway.call("/unsafe/x")).status == unsafe
    assert len(gateway.received) == (2 if unsafe == 200 else 1)


async def test_unsafe_request_is_retried_after_a_refused_connection(start):
    gateway = await start(plain=[Script(respond()), Script(respond())])
    entries = gateway.state.registry.entries
    for name in ("plain-0",):
        dead = entries[name]
        entries[name] = type(dead)(dead.id, dead.service, "127.0.0.1:1", "a", 4, False)
    statuses = [(await gateway.call("/unsafe/x")).status for _ in range(4)]
    assert statuses == [200] * 4


async def test_request_rejected_by_all_targets_gets_retry_after(start):
    gateway = await start(plain=[Script(REJECTED), Script(REJECTED)])
    response = await gateway.call("/unsafe/x")
    assert response.status == 503
    assert float(response.headers["Retry-After"]) > 0


async def test_unsafe_request_to_a_silent_target_times_out(start):
    gateway = await start(plain=[Script(hang), Script(respond())])
    statuses = {(await gateway.call("/quick/x")).status for _ in range(2)}
    assert statuses <= {200, 504}
    assert len(gateway.received) == 2


async def test_safe_request_to_a_silent_target_is_retried(start):
    gateway = await start(plain=[Script(hang), Script(respond())])
    assert [(await gateway.call("/safe/x")).status for _ in range(3)] == [200] * 3


async def test_close_delimited_response_is_complete_after_a_clean_close(start):
    gateway = await start(plain=[Script(CLOSE_DELIMITED)])
    response = await gateway.call("/unsafe/x")
    assert (response.status, response.body) == (200, b"whole")


async def test_surplus_response_is_discarded(start):
    gateway = await start(plain=[Script(SURPLUS_RESPONSE, respond(b"next"))])
    assert (await gateway.call("/safe/x")).body == b"mine"
    assert (await gateway.call("/safe/x")).body == b"next"


async def test_client_disconnect_cancels_the_request_at_the_target(start):
    gateway = await start(plain=[Script(hang)])
    await gateway.call_and_disconnect("/unsafe/x")
    await gateway.targets[0].closed.wait()


async def test_request_over_quota_is_not_forwarded(start):
    gateway = await start(
        plain=[Script(respond())], table=routing_table(rate_per_s=20.0)
    )
    statuses = [(await gateway.call("/unsafe/x")).status for _ in range(3)]
    assert statuses == [200, 429, 429]
    assert len(gateway.received) == 1


async def test_streams_of_an_account_use_up_no_share_of_its_plain_requests(start):
    # One of 68 members has sent a thirtieth of the quota, in one long prompt.
    gateway = await start(
        plain=[Script(respond())], table=routing_table(rate_per_s=1_000.0)
    )
    members = gateway.state.member_list
    for number in range(67):
        members.record_heartbeat(heartbeat(f"other-{number}"), gateway.state.clock())
    gateway.state.own_usage.charge("acme", 300, gateway.state.clock())
    assert (await gateway.call("/unsafe/x")).status == 200


def respond_after_abandonment(gateway_of, behaviour=respond(b"late")):
    """Respond only once the attempt would have been abandoned."""

    async def behave(request, reader, writer):
        state = gateway_of()
        timeout_s = 0.5 * state.table.find_route("one.example", "/safe/x").objective_s
        await asyncio.sleep(1.5 * timeout_s)
        return await behaviour(request, reader, writer)

    return behave


async def test_slow_response_of_the_only_target_is_awaited(start):
    slow = respond_after_abandonment(lambda: gateway.state)
    gateway = await start(plain=[Script(slow)])
    response = await gateway.call("/safe/x")
    assert (response.status, response.body) == (200, b"late")
    assert len(gateway.received) == 1


async def test_slow_response_is_awaited_when_the_retry_budget_is_used_up(start):
    slow = respond_after_abandonment(lambda: gateway.state)
    gateway = await start(plain=[Script(slow), Script(slow)])
    gateway.state.retry_budget.try_acquire = lambda *_: False
    response = await gateway.call("/safe/x")
    assert (response.status, response.body) == (200, b"late")
    assert len(gateway.received) == 1


# Guards against a 502 after a silence of one target, because the other one rejects the
# request.
async def test_silent_plain_target_is_not_given_up_for_one_that_rejects(start):
    silence_s = 1.3

    async def slow(request, reader, writer):
        await asyncio.sleep(silence_s)
        return await respond(b"whole")(request, reader, writer)

    script = Script(slow, REJECTED)
    gateway = await start(plain=[script, script])
    response = await gateway.call("/safe/x")
    assert (response.status, response.body) == (200, b"whole")


# Guards against a 502 although the last target that may be tried would respond.
async def test_last_possible_send_of_a_plain_request_is_awaited(start):
    async def slow(request, reader, writer):
        await asyncio.sleep(1.0)
        return await respond(b"whole")(request, reader, writer)

    script = Script(*[REJECTED] * 4, slow)
    gateway = await start(plain=[script] * 6)
    response = await gateway.call("/safe/x")
    assert (response.status, response.body) == (200, b"whole")


# Guards against attempts that go on after another target has responded.
async def test_slow_attempt_is_cancelled_once_its_hedge_responds(start):
    gateway = await start(plain=[Script(hang), Script(respond(b"whole"))])
    for _ in range(3):
        assert (await gateway.call("/safe/x")).body == b"whole"
    for target in gateway.targets:
        if target.script.behaviours == [hang]:
            await target.closed.wait()
    states = gateway.state.balancer.targets.values()
    assert [state.in_flight for state in states] == [0, 0]


LARGE_PIECE = bytes(2**16)
CHUNKED = "Transfer-Encoding: chunked\r\n"
# The start of a response whose body does not end, and the bytes that repeat.
ENDLESS_BODIES = [
    pytest.param(response_head(), LARGE_PIECE, id="close-delimited"),
    pytest.param(
        response_head(CHUNKED), b"10000\r\n%s\r\n" % LARGE_PIECE, id="chunked"
    ),
    pytest.param(
        response_head("Content-Length: 99999999999\r\n"), LARGE_PIECE, id="length"
    ),
    pytest.param(
        response_head(status="500 Internal Server Error"), LARGE_PIECE, id="error"
    ),
    pytest.param(response_head(signature=""), LARGE_PIECE, id="without a signature"),
]


# Guards against a body without end that fills the memory until the deadline.
@pytest.mark.parametrize(("first", "repeated"), ENDLESS_BODIES)
async def test_endless_body_is_cut_and_the_request_retried(start, first, repeated):
    endless = EndlessResponse(first, repeated)
    script = Script(endless, respond(b"whole"))
    gateway = await start(plain=[script, script])
    response = await gateway.call("/safe/x")
    assert (response.status, response.body) == (200, b"whole")
    await wait_until(lambda: any(target.closed.is_set() for target in gateway.targets))
    assert endless.was_cut
    rates = [s.failure_rate for s in gateway.state.balancer.targets.values()]
    assert max(rates) > 0


# Guards against an unsafe request that is sent again although an endless response may
# mean that it has run.
async def test_unsafe_request_is_not_retried_after_an_endless_body(start):
    endless = EndlessResponse(response_head(), LARGE_PIECE)
    script = Script(endless, respond(b"whole"))
    gateway = await start(plain=[script, script])
    assert (await gateway.call("/unsafe/x")).status == 502
    assert len(gateway.received) == 1
    assert endless.was_cut


# Guards against a bound that cuts large complete responses.
async def test_large_body_is_forwarded_whole(start):
    body = random.Random(1).randbytes(2**20) * 20
    gateway = await start(plain=[Script(respond(body))])
    response = await gateway.call("/unsafe/x")
    assert (response.status, response.body == body) == (200, True)


REJECTION_HEAD = response_head(
    "X-Burdockhaven-Not-Executed: 1\r\n", "503 Service Unavailable", signature=""
)
# Rejections whose bodies are never complete, and the bytes that repeat in them.
ENDLESS_REJECTIONS = [
    pytest.param(REJECTION_HEAD, LARGE_PIECE, id="endless body"),
    pytest.param(REJECTION_HEAD + b"wait", b"", id="silence within the body"),
]


# Guards against a rejection that counts as a possible run, or is awaited until the
# deadline, because of its body.
@pytest.mark.parametrize(("first", "repeated"), ENDLESS_REJECTIONS)
async def test_rejection_is_known_by_its_head(start, first, repeated):
    endless = EndlessResponse(first, repeated)
    script = Script(endless, respond(b"whole"))
    gateway = await start(plain=[script, script])
    response = await gateway.call("/unsafe/x")
    assert (response.status, response.body) == (200, b"whole")
    await wait_until(lambda: any(target.closed.is_set() for target in gateway.targets))
    assert endless.was_cut


async def test_rejection_with_a_reset_body_has_not_run(start):
    reset = send_raw(
        REJECTION_HEAD.replace(b"\r\n\r\n", b"\r\nContent-Length: 9\r\n\r\n")
    )
    script = Script(reset, respond(b"whole"))
    gateway = await start(plain=[script, script])
    assert (await gateway.call("/unsafe/x")).status == 200


# Guards against responses without a body that count as reset, for want of a length.
async def test_response_to_head_needs_no_length(start):
    gateway = await start(plain=[Script(send_raw(response_head()))])
    response = await gateway.call("/unsafe/x", method="HEAD")
    assert (response.status, response.body) == (200, b"")


async def test_response_to_head_may_name_any_length(start):
    head = response_head("Content-Length: 99999999999\r\n")
    gateway = await start(plain=[Script(send_raw(head))])
    response = await gateway.call("/unsafe/x", method="HEAD")
    assert (response.status, response.body) == (200, b"")


# Guards against a response that ends its request with an error for its load header.
async def test_unreadable_load_of_a_target_is_ignored(start):
    load = f"X-Burdockhaven-Instance-Load: 1,2,{'9' * 5_000}\r\n"
    gateway = await start(plain=[Script(respond(b"whole", extra=load))])
    response = await gateway.call("/unsafe/x")
    assert (response.status, response.body) == (200, b"whole")


def turn_away(pause_s):
    return respond(
        b"",
        "503 Service Unavailable",
        f"Retry-After: {pause_s:g}\r\nX-Burdockhaven-Not-Executed: 1\r\n",
        signature="",
    )


def pause_targets(gateway, *pauses_s):
    """Let each target turn a request away for its time."""
    now = gateway.state.clock()
    for number, pause_s in enumerate(pauses_s):
        entry = gateway.state.registry.entries[f"plain-{number}"]
        headers = CIMultiDict({"Retry-After": f"{pause_s:g}"})
        head = read_response_head(503, CIMultiDictProxy(headers))
        gateway.state.record_response(entry, head, now)


# Guards against a herd at a target that returns from a pause, and against refusals of
# the requests that come while the first one is under way.
async def test_requests_wait_for_the_first_one_at_a_target_that_returns(start):
    released = asyncio.Event()
    script = Script(respond_when_released(released), respond())
    gateway = await start(plain=[script])
    pause_targets(gateway, 0.01)
    await wait_until(lambda: not gateway.state.is_paused("plain-0"))
    calls = [asyncio.create_task(gateway.call("/patient/x")) for _ in range(4)]
    await wait_until(lambda: len(gateway.frontend.pending) == 4)
    await wait_until(lambda: gateway.received)
    assert len(gateway.received) == 1
    released.set()
    assert [(await call).status for call in calls] == [200] * 4
    assert len(gateway.received) == 4


# Guards against requests that pile up behind a target and arrive as a herd later.
async def test_no_more_requests_wait_than_the_target_takes_at_once(start):
    released = asyncio.Event()
    script = Script(respond_when_released(released), respond())
    gateway = await start(plain=[script])
    pause_targets(gateway, 0.01)
    await wait_until(lambda: not gateway.state.is_paused("plain-0"))
    slots = gateway.state.registry.entries["plain-0"].slots
    calls = [asyncio.create_task(gateway.call("/patient/x")) for _ in range(slots + 3)]
    await wait_until(lambda: sum(call.done() for call in calls) == 2)
    released.set()
    statuses = [(await call).status for call in calls]
    assert sorted(statuses) == [200] * (1 + slots) + [503] * 2


@pytest.fixture
def waits(monkeypatch):
    """The waits of requests for a target, in seconds."""
    found = []
    wait = PlainForwarder._wait_for_send_end

    async def record_wait(forwarder, service, wait_s):
        found.append(wait_s)
        await wait(forwarder, service, wait_s)

    monkeypatch.setattr(PlainForwarder, "_wait_for_send_end", record_wait)
    return found


# Guards against refusals of requests that a target takes in time after its pause.
async def test_request_waits_for_the_shortest_pause_if_all_targets_are_paused(start):
    gateway = await start(plain=[Script(respond()), Script(respond())])
    pause_targets(gateway, 0.2, 25)
    assert (await gateway.call("/patient/x")).status == 200
    assert [len(scripted.received) for scripted in gateway.targets] == [1, 0]


# Guards against a request that is refused for good by a target that is free in time.
async def test_request_turned_away_by_all_targets_is_sent_again_after_a_pause(start):
    script = Script(turn_away(0.2), turn_away(0.2), respond())
    gateway = await start(plain=[script, script])
    assert (await gateway.call("/patient/x")).status == 200
    assert len(gateway.received) == 3


# Guards against a wait for a pause that ends too late for the deadline or objective.
@pytest.mark.parametrize(
    ("path", "headers"),
    [("/unsafe/x", {}), ("/patient/x", {"X-Burdockhaven-Deadline-Ms": "900"})],
)
async def test_request_is_refused_at_once_if_all_pauses_end_too_late(
    start, waits, path, headers
):
    gateway = await start(plain=[Script(respond()), Script(respond())])
    pause_targets(gateway, 20, 25)
    response = await gateway.call(path, headers=headers)
    assert (response.status, gateway.received, waits) == (503, [], [])
    assert float(response.headers["Retry-After"]) == 4.0


# Guards against a request that waits for a second send which it may not make.
async def test_request_without_retry_budget_does_not_wait(start, waits):
    gateway = await start(plain=[Script(turn_away(0.2), respond())])
    gateway.state.retry_budget.try_acquire = lambda *_: False
    assert (await gateway.call("/patient/x")).status == 503
    assert (len(gateway.received), waits) == (1, [])


# Guards against a herd of the requests that wait for the end of a pause.
async def test_requests_that_wait_for_a_pause_return_in_order(start):
    released = asyncio.Event()
    script = Script(respond_when_released(released), respond())
    gateway = await start(plain=[script])
    pause_targets(gateway, 0.5)
    calls = [asyncio.create_task(gateway.call("/patient/x")) for _ in range(4)]
    await wait_until(lambda: len(gateway.frontend.pending) == 4)
    await wait_until(lambda: gateway.received)
    assert len(gateway.received) == 1
    released.set()
    assert [(await call).status for call in calls] == [200] * 4


# Guards against a 504, which may have run, for a request that only targets turned away.
async def test_request_that_waits_while_the_process_stops_is_refused_as_not_run(start):
    gateway = await start(plain=[Script(turn_away(20), respond())])
    call = asyncio.create_task(gateway.call("/patient/x"))
    await wait_until(lambda: gateway.frontend.plain.waiting["plain"])
    gateway.frontend.answer_pending()
    response = await call
    assert response.status == 503
    assert float(response.headers["Retry-After"]) > 0
