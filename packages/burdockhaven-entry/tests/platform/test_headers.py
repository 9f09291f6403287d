import pytest
from multidict import CIMultiDict, CIMultiDictProxy

from burdockhaven_entry.platform import (
    MalformedRequestError,
    client_headers,
    read_answer,
    read_client_request,
    refusal_headers,
    target_headers,
)


def headers(**values):
    pairs = {name.replace("_", "-"): value for name, value in values.items()}
    return CIMultiDictProxy(CIMultiDict(pairs))


CLIENT = headers(
    Host="one.example",
    X_Burdockhaven_Attempt_Id="a1",
    X_Burdockhaven_Token_Counts="1460,80",
    X_Burdockhaven_Prompt_Prefix="5c1e07a2:800,91bd3f06:410",
    X_Burdockhaven_Deadline_Ms="15000",
    X_Burdockhaven_Length_Hint="33",
    Authorization="Bearer k1",
    Last_Event_Id="12",
)


def test_a_request_is_read():
    said = read_client_request(CLIENT)
    assert (said.attempt_id, said.api_key, said.deadline_ms) == ("a1", "k1", 15000)
    assert (said.prompt_tokens, said.max_output_tokens) == (1460, 80)
    assert said.parts == (("5c1e07a2", 800), ("91bd3f06", 410))
    assert (said.last_event_id, said.expected_output_tokens) == ("12", 33)


@pytest.mark.parametrize(
    "bad",
    [
        headers(),
        headers(X_Burdockhaven_Attempt_Id="a", X_Burdockhaven_Deadline_Ms="soon"),
        headers(X_Burdockhaven_Attempt_Id="a", X_Burdockhaven_Deadline_Ms="inf"),
        headers(X_Burdockhaven_Attempt_Id="a", X_Burdockhaven_Token_Counts="1"),
        headers(X_Burdockhaven_Attempt_Id="a", X_Burdockhaven_Token_Counts="1,-2"),
    ],
)
def test_a_request_that_can_not_be_read_is_an_error(bad):
    with pytest.raises(MalformedRequestError):
        read_client_request(bad)


FORGED = (
    "X-Burdockhaven-Tenant",
    "X-Burdockhaven-Expect-Instance",
    "X-Burdockhaven-Hold",
    "X-Burdockhaven-Pin-Ms",
    "X-Burdockhaven-Kv-Backup",
    "Kv-From",
    "Kv-Fetch",
)


@pytest.mark.parametrize("name", FORGED)
def test_what_only_the_system_sets_is_dropped_from_clients(name):
    received = CIMultiDictProxy(CIMultiDict(CLIENT, **{name: "forged"}))
    sent = target_headers(
        received, target_id="i-1", account="acme", deadline_ms=900, last_event_id=None
    )
    assert "forged" not in sent.values()
    assert "Authorization" not in sent
    assert sent["X-Burdockhaven-Expect-Instance"] == "i-1"
    assert sent["X-Burdockhaven-Tenant"] == "acme"
    assert sent["X-Burdockhaven-Deadline-Ms"] == "900"


def test_headers_of_one_connection_stay_there():
    received = headers(Connection="keep-alive, X-Mine", X_Mine="1", TE="x", X_Other="2")
    sent = target_headers(
        received, target_id="i", account=None, deadline_ms=1, last_event_id=None
    )
    assert "X-Mine" not in sent
    assert "TE" not in sent
    assert sent["X-Other"] == "2"
    assert dict(client_headers(received)) == {"X-Other": "2"}


@pytest.mark.parametrize(
    ("status", "values", "not_run", "other"),
    [
        (200, {}, False, False),
        (503, {}, False, False),
        (503, {"X_Burdockhaven_Not_Executed": "1"}, True, False),
        (421, {}, True, True),
        (500, {}, False, False),
    ],
)
def test_only_the_servers_word_says_that_a_request_has_not_run(
    status, values, not_run, other
):
    found = read_answer(status, headers(**values))
    assert (found.not_run, found.other_target) == (not_run, other)


def test_the_load_of_a_server_is_read():
    found = read_answer(200, headers(X_Burdockhaven_Instance_Load="3,1,8"))
    assert (found.load.running, found.load.waiting, found.load.slots) == (3, 1, 8)
    assert read_answer(200, headers(X_Burdockhaven_Instance_Load="a,b")).load is None


def test_a_refusal_says_when_to_come_back():
    assert refusal_headers("a1", 0.5)["Retry-After"] == "0.50"
