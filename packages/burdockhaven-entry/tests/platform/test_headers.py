import pytest
from multidict import CIMultiDict, CIMultiDictProxy

from burdockhaven_entry.platform import (
    MalformedRequestError,
    client_headers,
    read_client_request,
    read_response_head,
    refusal_headers,
    target_headers,
)
from burdockhaven_entry.platform.client_request import MAX_PART_NAME


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
    Resumes="a0",
)


def test_client_request_headers_are_parsed():
    client_request = read_client_request(CLIENT)
    assert (
        client_request.attempt_id,
        client_request.api_key,
        client_request.deadline_ms,
    ) == ("a1", "k1", 15000)
    assert (client_request.prompt_tokens, client_request.max_output_tokens) == (
        1460,
        80,
    )
    assert client_request.parts == (("5c1e07a2", 800), ("91bd3f06", 410))
    assert (client_request.last_event_id, client_request.expected_output_tokens) == (
        "12",
        33,
    )
    assert client_request.resumed_attempt_id == "a0"


@pytest.mark.parametrize(
    "bad",
    [
        headers(),
        headers(X_Burdockhaven_Attempt_Id="a", X_Burdockhaven_Deadline_Ms="soon"),
        headers(X_Burdockhaven_Attempt_Id="a", X_Burdockhaven_Deadline_Ms="inf"),
        headers(X_Burdockhaven_Attempt_Id="a", X_Burdockhaven_Token_Counts="1"),
        headers(X_Burdockhaven_Attempt_Id="a", X_Burdockhaven_Token_Counts="1,-2"),
        headers(X_Burdockhaven_Attempt_Id="a", X_Burdockhaven_Token_Counts="1e300,1"),
        headers(X_Burdockhaven_Attempt_Id="a", X_Burdockhaven_Length_Hint="1e20"),
        headers(X_Burdockhaven_Attempt_Id="a\udcff"),
        headers(X_Burdockhaven_Attempt_Id="a", Resumes="a\udcff"),
    ],
)
def test_malformed_client_request_is_an_error(bad):
    with pytest.raises(MalformedRequestError):
        read_client_request(bad)


def test_prompt_part_without_a_readable_size_is_ignored():
    parts = f"a:1,b:\u00b2,c:{'9' * 5_000},d:4"
    values = headers(X_Burdockhaven_Attempt_Id="a", X_Burdockhaven_Prompt_Prefix=parts)
    assert read_client_request(values).parts == (("a", 1), ("d", 4))


# Guards against a placement request that can't be encoded for the broker.
def test_prompt_part_with_bytes_that_are_not_utf_8_gets_a_name_that_is():
    value = "a\udcff:1,\udcff:2,\u00e9:3"
    values = headers(X_Burdockhaven_Attempt_Id="a", X_Burdockhaven_Prompt_Prefix=value)
    parts = read_client_request(values).parts
    assert [count for _, count in parts] == [1, 2, 3]
    assert all(name.encode() for name, _ in parts)


# Guards against a deadline far off that is taken for a malformed one.
def test_deadline_may_be_any_number():
    values = headers(X_Burdockhaven_Attempt_Id="a", X_Burdockhaven_Deadline_Ms="1e300")
    assert read_client_request(values).deadline_ms > 1e299


SYSTEM_HEADERS = (
    "X-Burdockhaven-Tenant",
    "X-Burdockhaven-Expect-Instance",
    "X-Burdockhaven-Hold",
    "X-Burdockhaven-Pin-Ms",
    "X-Burdockhaven-Kv-Backup",
    "Kv-From",
    "Kv-Fetch",
)


@pytest.mark.parametrize("name", SYSTEM_HEADERS)
def test_system_headers_from_clients_are_dropped(name):
    received = CIMultiDictProxy(CIMultiDict(CLIENT, **{name: "forged"}))
    sent = target_headers(
        received, target_id="i-1", account="acme", deadline_ms=900, last_event_id=None
    )
    assert "forged" not in sent.values()
    assert "Authorization" not in sent
    assert sent["X-Burdockhaven-Expect-Instance"] == "i-1"
    assert sent["X-Burdockhaven-Tenant"] == "acme"
    assert sent["X-Burdockhaven-Deadline-Ms"] == "900"


def test_hop_by_hop_headers_are_not_forwarded():
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
def test_only_the_target_declares_a_request_not_run(status, values, not_run, other):
    head = read_response_head(status, headers(**values))
    assert (head.not_run, head.observation.is_misdirected) == (not_run, other)


# Guards against a load that is ignored because targets state more figures.
@pytest.mark.parametrize(
    ("value", "expected"),
    [
        ("3,1,8", (3, 1, 8)),
        ("3, 1, 8", (3, 1, 8)),
        ("3,1,8,140", (3, 1, 8)),
        ("3,1", None),
        ("3,1,x", None),
        ("3,1,\u00b2", None),
        ("3,1," + "9" * 5_000, None),
        ("a,b", None),
        ("", None),
    ],
)
def test_instance_load_is_parsed(value, expected):
    load = read_response_head(200, headers(X_Burdockhaven_Instance_Load=value)).load
    found = None if load is None else (load.running, load.waiting, load.slots)
    assert found == expected


# Guards against a new signal of a target that passes through unread.
def test_headers_that_are_neither_decoded_nor_listed_are_named():
    received = headers(Server_Mood="1", Date="x", Server_Limit="1", Connection="close")
    assert read_response_head(200, received).unknown_headers == ("server-mood",)


def test_refusal_carries_retry_after_header():
    assert refusal_headers("a1", 0.5)["Retry-After"] == "0.50"


@pytest.mark.parametrize(
    ("value", "limit_per_s", "unreadable"),
    [
        ("3.1", 3.1, ""),
        ("0", 0.0, ""),
        ("", None, ""),
        ("-1", None, "-1"),
        ("inf", None, "inf"),
        ("nan", None, "nan"),
        ("few", None, "few"),
    ],
)
def test_limit_of_a_target_is_parsed(value, limit_per_s, unreadable):
    values = {"Server_Limit": value} if value else {}
    head = read_response_head(200, headers(**values))
    assert head.observation.limit_per_s == limit_per_s
    assert [found.value for found in head.observation.unreadable] == (
        [unreadable] if unreadable else []
    )


# Names from clients filled the memory of a broker, and messages beyond a datagram.
def test_long_names_of_prompt_parts_are_replaced_by_digests():
    names = [
        "p" * MAX_PART_NAME,
        "q" * (MAX_PART_NAME + 1),
        "\udcff" * 5_000,
        # Longer as bytes: brokers would neither announce nor record it.
        "\u20ac" * (MAX_PART_NAME - 1) + "\udcff",
    ]
    prefix = ",".join(f"{name}:7" for name in names)
    received = headers(
        X_Burdockhaven_Attempt_Id="a", X_Burdockhaven_Prompt_Prefix=prefix
    )
    parts = read_client_request(received).parts
    assert [tokens for _, tokens in parts] == [7] * len(names)
    assert parts[0][0] == names[0]
    assert max(len(name) for name, _ in parts) <= MAX_PART_NAME
    assert len({name for name, _ in parts}) == len(names)
