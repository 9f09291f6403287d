"""Real daemons under signals and target faults.

The tests poll for observable states instead of waiting for fixed times.
"""

import json
import signal
import time

import httpx
import pytest
from httpx_sse import EventSource

from burdockhaven_core.configuration import ClassSpec, GroupKind
from burdockhaven_core.identity import ClassName, GroupName
from burdockhaven_standins.site import Site, group_spec, site_configuration

pytestmark = pytest.mark.process

KEY = "the-account-key"
TOKENS = 100
# Seconds after which a condition that is still false fails the test.
TIMEOUT_S = 40.0
CLASSES = [
    ClassSpec(ClassName("review"), GroupName("survey"), tier=1, deadline_ms=60_000),
    ClassSpec(
        ClassName("sign-off"),
        GroupName("permits"),
        tier=1,
        deadline_ms=60_000,
        idempotent=False,
    ),
]


class Caller:
    """Reads the answer to one request, and resumes it at any entry."""

    def __init__(self, client, assignment, request_class):
        self.client = client
        self.body = {
            "assignment": assignment,
            "key": "the-request",
            "class": request_class,
            "prompt": "a b c",
            "max_output_tokens": TOKENS,
        }
        self.text = ""
        self.tokens = 0
        # Name and data of the last event; status and body if the response is no stream.
        self.last = None

    def read(self, address, stop_at=None):
        """Read or resume the answer at an entry.

        `stop_at` is a number of tokens and a function; the function is called once
        that many tokens have been read.
        """
        body = self.body | {"offset": self.tokens}
        url = f"http://{address}/v1/requests"
        with self.client.stream("POST", url, json=body) as response:
            if not response.headers["content-type"].startswith("text/event-stream"):
                self.last = response.status_code, json.loads(response.read())
                return
            for event in EventSource(response).iter_sse():
                data = json.loads(event.data)
                self.last = event.event, data
                if event.event == "chunk":
                    assert data["offset"] == self.tokens
                    self.tokens += data["count"]
                    self.text += data["text"]
                if stop_at is not None and self.tokens >= stop_at[0]:
                    stop_at[1]()
                    stop_at = None

    @property
    def is_complete(self):
        words = self.text.split()
        run = self.last[1]["request"][:6]
        assert words == [f"{run}-{index}" for index in range(TOKENS)]
        return self.last[0] == "end" and self.last[1]["length"] == TOKENS


def poll_until_true(poll):
    """Return the first true result of `poll`; failed connections are ignored."""
    deadline_s = time.monotonic() + TIMEOUT_S
    while time.monotonic() < deadline_s:
        try:
            if result := poll():
                return result
        except httpx.TransportError:
            pass
        time.sleep(0.05)
    raise AssertionError("condition still false at the deadline")


@pytest.fixture
def client():
    headers = {"authorization": f"Bearer {KEY}"}
    with httpx.Client(headers=headers, timeout=60.0, trust_env=False) as client:
        yield client


@pytest.fixture
def site():
    with Site.start() as site:
        engine = site.add_target("engine", "engine", "--token-interval-s", "0.03")
        service = site.add_target("service", "service")
        groups = [
            group_spec("survey", GroupKind.MODEL, [engine]),
            group_spec("permits", GroupKind.SERVICE, [service]),
        ]
        site.publish(site_configuration(groups, CLASSES, KEY))
        site.add_entry("entry-1")
        site.add_entry("entry-2")
        yield site


@pytest.fixture
def start_request(site, client):
    """Prepares requests that are assigned to the first entry.

    Waits until a look-up at each entry has named the other entry.
    """

    def look_up(entry, expected):
        response = client.get(f"http://{entry.caller_address}/v1/lookup")
        found = response.is_success and response.json()
        return found if found and found["address"] == expected.caller_address else None

    def start_caller(request_class="review"):
        one, two = site.entries
        poll_until_true(lambda: look_up(one, two))
        found = poll_until_true(lambda: look_up(two, one))
        return Caller(client, found["assignment"], request_class)

    return start_caller


def execution_counts(client, target):
    counts = client.get(f"{target.url}/counts").json()
    return list(counts.get("submissions", counts).values())


def resume_at(caller, address):
    """Read at an entry until it does not redirect to another entry."""

    def poll():
        caller.read(address)
        return caller.last[0] != 421

    poll_until_true(poll)


def test_stream_resumes_after_entry_is_killed(site, client, start_request):
    caller = start_request()
    one, two = site.entries
    with pytest.raises(httpx.TransportError):
        caller.read(one.caller_address, (10, one.process.kill))
    resume_at(caller, two.caller_address)
    assert caller.last[0] == "end", caller.last
    assert caller.is_complete
    assert execution_counts(client, site.targets["engine"]) == [1]


def test_stopped_entry_finishes_its_stream(site, client, start_request):
    caller = start_request()
    one, two = site.entries
    caller.read(one.caller_address, (10, lambda: one.process.signal(signal.SIGTERM)))
    assert caller.is_complete
    assert one.process.wait() == 0
    response = poll_until_true(
        lambda: client.get(f"http://{two.caller_address}/v1/lookup")
    )
    assert response.json()["address"] == two.caller_address


def test_paused_entry_continues_its_stream(site, client, start_request):
    caller = start_request()
    one, two = site.entries

    def pause():
        one.process.signal(signal.SIGSTOP)
        poll_until_true(
            lambda: looked_up_addresses(client, two) == [two.caller_address]
        )
        one.process.signal(signal.SIGCONT)

    caller.read(one.caller_address, (10, pause))
    assert caller.is_complete
    assert execution_counts(client, site.targets["engine"]) == [1]


def looked_up_addresses(client, entry):
    """Return the addresses that an entry names in 20 look-ups."""
    responses = [
        client.get(f"http://{entry.caller_address}/v1/lookup") for _ in range(20)
    ]
    return sorted({response.json()["address"] for response in responses})


def test_stuck_engine_gives_unknown(site, client, start_request):
    caller = start_request()
    one, _ = site.entries
    stuck = {"slowness": 0}
    control = f"{site.targets['engine'].url}/control"
    caller.read(one.caller_address, (10, lambda: client.post(control, json=stuck)))
    assert caller.last[0] == "unknown"
    assert caller.last[1]["reason"] == "target_lost"
    caller.read(one.caller_address)
    assert caller.last[1]["outcome"] == "unknown"
    assert execution_counts(client, site.targets["engine"]) == [1]


def test_non_idempotent_call_is_not_repeated_after_lost_response(
    site, client, start_request
):
    caller = start_request("sign-off")
    client.post(f"{site.targets['service'].url}/control", json={"cut_next": "after"})
    for address in [site.entries[0].caller_address, site.entries[1].caller_address] * 2:
        caller.read(address)
        assert caller.last[1]["outcome"] in ("unknown", "elsewhere")
    assert execution_counts(client, site.targets["service"]) == [1]


def test_non_idempotent_call_is_not_repeated_after_entry_is_killed(
    site, client, start_request
):
    caller = start_request("sign-off")
    one, two = site.entries
    client.post(f"{site.targets['service'].url}/control", json={"call_s": 3600})
    with pytest.raises(httpx.ReadTimeout):
        client.post(
            f"http://{one.caller_address}/v1/requests", json=caller.body, timeout=1.0
        )
    poll_until_true(lambda: execution_counts(client, site.targets["service"]) == [1])
    one.process.kill()
    resume_at(caller, two.caller_address)
    assert caller.last[1] | {"detail": ""} == {
        "outcome": "unknown",
        "reason": "entry_lost",
        "detail": "",
        "retry_after_s": None,
        "entry": None,
        "address": None,
    }
    assert execution_counts(client, site.targets["service"]) == [1]
