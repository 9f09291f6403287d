"""The callers' API with a shell whose run client is scripted."""

import asyncio
import hashlib
import io
from dataclasses import replace

import pytest
from litestar.testing import AsyncTestClient
from loguru import logger
from samples import ACCOUNT, OTHER_ACCOUNT, configuration, entry

from burdockhaven_core.events import (
    ConfigurationRead,
    RunCompleted,
    RunLost,
    RunProgressed,
    RunRejected,
)
from burdockhaven_entry.answer_buffer import Chunk
from burdockhaven_entry.caller_api import caller_app
from burdockhaven_entry.log_events import configure_logging
from burdockhaven_entry.metrics import Metrics
from burdockhaven_entry.shell import Shell

NOW = 20.0
MAX_BODY_BYTES = 10_000
KEYS = {ACCOUNT: "key of north", OTHER_ACCOUNT: "key of south"}


class ScriptedRunClient:
    """Replaces the run client: each run executes the next script."""

    def __init__(self, shell: Shell) -> None:
        self.shell = shell
        self.started: list[str] = []
        self.scripts = [answer_words]

    async def run_model(self, request, buffer):
        self.started.append(request.run_id)
        script = self.scripts[min(len(self.started), len(self.scripts)) - 1]
        script(self.shell, request, buffer)

    run_service = run_model

    async def close(self):
        return None


def answer_words(shell, request, buffer):
    for offset, word in enumerate(("one ", "two ")):
        buffer.append(Chunk(offset, 1, word))
        shell.handle_event(RunProgressed(request.run_id, 1))
    buffer.complete()
    shell.handle_event(RunCompleted(request.run_id, 2))


def break_after_first_token(shell, request, buffer):
    buffer.append(Chunk(0, 1, "one "))
    shell.handle_event(RunProgressed(request.run_id, 1))
    shell.handle_event(RunLost(request.run_id, "cut"))


def lose_run(shell, request, buffer):
    shell.handle_event(RunLost(request.run_id, "cut"))


def reject_run(shell, request, buffer):
    shell.handle_event(RunRejected(request.run_id, request.target.name, "full"))


@pytest.fixture
async def shell():
    one = entry()
    config = configuration(2)
    accounts = {
        name: replace(
            parameters, key_sha256=hashlib.sha256(KEYS[name].encode()).hexdigest()
        )
        for name, parameters in config.accounts.items()
    }
    one.step(ConfigurationRead(replace(config, accounts=accounts)), NOW)
    shell = Shell(one, Metrics(), lambda: NOW)
    await shell.run_client.close()
    shell.run_client = ScriptedRunClient(shell)
    yield shell
    await shell.close()


@pytest.fixture
async def client(shell):
    async with AsyncTestClient(caller_app(shell, MAX_BODY_BYTES)) as test_client:
        yield test_client


def headers(account=ACCOUNT):
    return {"authorization": f"Bearer {KEYS[account]}"}


async def assignment(client) -> str:
    response = await client.get("/v1/lookup", headers=headers())
    return response.json()["assignment"]


async def send(client, **changes):
    body = {
        "assignment": await assignment(client),
        "key": "k",
        "class": "review",
        "prompt": "p " * 10,
        "max_output_tokens": 5,
    } | changes
    return await client.post("/v1/requests", headers=headers(), json=body)


async def test_a_lookup_returns_an_entry_and_its_lifetime(client):
    response = await client.get("/v1/lookup", headers=headers())
    assert response.status_code == 200
    assert response.json()["address"] == "one:80"
    assert response.json()["lasts_s"] == 30


async def test_a_complete_answer_ends_with_its_length(client):
    response = await send(client)
    assert response.headers["content-type"].startswith("text/event-stream")
    events = [line for line in response.text.splitlines() if line.startswith("event")]
    assert events[0] == "event: started"
    assert events[-1] == "event: end"
    assert '"length":2' in response.text


async def test_a_repeated_request_is_answered_from_the_record(client, shell):
    token = await assignment(client)
    first = await send(client, assignment=token)
    second = await send(client, assignment=token, offset=1)
    assert "one " in first.text
    assert "one " not in second.text
    assert "two " in second.text
    assert len(shell.run_client.started) == 1


async def test_a_broken_answer_ends_as_unknown(client, shell):
    shell.run_client.scripts = [break_after_first_token]
    response = await send(client)
    assert "event: unknown" in response.text
    assert "event: end" not in response.text


async def test_a_lost_run_is_unknown(client, shell):
    shell.run_client.scripts = [lose_run]
    response = await send(client)
    assert response.status_code == 504
    assert response.json()["outcome"] == "unknown"
    assert not shell.bodies
    assert not shell.waiting_handles


async def test_a_rejected_run_is_sent_to_another_target(client, shell):
    shell.run_client.scripts = [reject_run, answer_words]
    response = await send(client)
    assert "event: end" in response.text
    assert len(shell.run_client.started) == 2


@pytest.mark.parametrize(
    ("changes", "status", "reason"),
    [
        ({"class": "none"}, 404, "unknown_class"),
        ({"assignment": "forged.x"}, 403, "bad_assignment"),
        ({"key": ""}, 400, "bad_request"),
        ({"prompt": 5}, 400, "bad_request"),
        ({"surplus": 1}, 400, "bad_request"),
        ({"offset": -1}, 400, "bad_request"),
        ({"max_output_tokens": 10**6}, 413, "too_large"),
        ({"prompt": "x" * MAX_BODY_BYTES}, 413, "too_large"),
        ({"deadline_ms": 1}, 422, "infeasible"),
    ],
)
async def test_invalid_input_is_refused_with_its_reason(
    client, shell, changes, status, reason
):
    response = await send(client, **changes)
    assert response.status_code == status
    assert response.json()["outcome"] == "not_run"
    assert response.json()["reason"] == reason
    assert not shell.run_client.started


async def test_malformed_input_is_logged_as_a_numbered_event(client):
    stream = io.StringIO()
    configure_logging("json", "info", stream)
    await send(client, prompt=5)
    assert '"number":305' in stream.getvalue()
    logger.remove()


@pytest.mark.parametrize("header", [{}, {"authorization": "Bearer wrong"}])
async def test_callers_without_a_valid_key_are_unauthorized(client, header):
    response = await client.get("/v1/lookup", headers=header)
    assert response.status_code == 401
    assert response.json()["reason"] == "unknown_account"


async def test_an_account_cannot_read_anothers_request(client):
    token = await assignment(client)
    await send(client, assignment=token)
    body = {"assignment": token, "key": "k", "class": "review"}
    response = await client.post(
        "/v1/requests/resume", headers=headers(OTHER_ACCOUNT), json=body
    )
    assert response.status_code == 403
    assert "one " not in response.text


@pytest.mark.parametrize(("sent", "state"), [(True, "whole"), (False, "unknown")])
async def test_the_status_of_a_request(client, sent, state):
    token = await assignment(client)
    if sent:
        await send(client, assignment=token)
    body = {"assignment": token, "key": "k", "class": "review"}
    response = await client.post("/v1/requests/status", headers=headers(), json=body)
    assert response.json()["state"] == state


async def test_exchanges_are_closed_once_the_answer_is_read(client, shell):
    await send(client)
    await asyncio.sleep(0)
    assert not shell.exchanges
    assert shell.no_open_exchanges.is_set()


async def test_the_openapi_document_is_served(client):
    response = await client.get("/schema/openapi.json")
    assert "/v1/requests" in response.json()["paths"]
