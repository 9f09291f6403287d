import pytest
from hypothesis import given
from hypothesis import strategies as st
from result import Err

from burdockhaven_core.response_validation import HeadLines, ResponseFault
from burdockhaven_core.response_validation.head_lines import MAX_LINE_BYTES
from burdockhaven_core.response_validation.violation import MAX_EXCERPT_LENGTH

OK = b"HTTP/1.1 200 OK"
STATUS_LINES = [
    b"HTTP/1.1 100 Continue",
    b"HTTP/1.0 200 OK",
    b"HTTP/1.1 200 ",
    b"HTTP/1.1 200",
    b"HTTP/1.1 299 \xe9\xff\t(odd)",
    b"HTTP/1.1 599 x",
]
BAD_STATUS_LINES = [
    b"HTTP/1.1 000 OK",
    b"HTTP/1.1 099 OK",
    b"HTTP/1.1 600 OK",
    b"HTTP/1.1 999 OK",
    b"HTTP/1.1 1000 OK",
    b"HTTP/1.1 20 OK",
    b"HTTP/1.1 +20 OK",
    b"HTTP/1.1  200 OK",
    b"HTTP/1.1\t200 OK",
    b"HTTP/1.1 200\tOK",
    b"HTTP/1.1 200 O\x00K",
    b"HTTP/1.1 200 O\rK",
    b"HTTP/1.1 200 OK\n",
    b"HTTP/0.9 200 OK",
    b"HTTP/1.2 200 OK",
    b"HTTP/2.0 200 OK",
    b"http/1.1 200 OK",
    b"RTSP/1.0 200 OK",
    b" HTTP/1.1 200 OK",
    b"",
    b"X: y",
]
FIELDS = [
    b"X:",
    b"X: ",
    b"X:y",
    b"X: a\tb \xc3\xa9\xff",
    b"!#$%&'*+-.^_`|~09azAZ: y",
    b"X: " + b"y" * 8_190,
]
BAD_FIELDS = [
    b"X : y",
    b"X\t: y",
    b"X y: z",
    b" X: y",
    b"\tX: y",
    b": y",
    b"X",
    b"X\x00: y",
    b"X\x7f: y",
    b"\xc3\xa9: y",
    b"X(: y",
    b"X: a\x00b",
    b"X: a\x07b",
    b"X: a\x7fb",
    b"X: a\rb",
    b"X: a\nY: b",
]


def check(data, *, cuts=()):
    """Add the data in pieces; returns the lines and the rest, or the fault."""
    head_lines = HeadLines()
    lines = b""
    for start, end in zip([0, *cuts], [*cuts, len(data)], strict=True):
        result = head_lines.add(data[start:end])
        if isinstance(result, Err):
            return result.err_value.fault
        lines += result.ok_value.lines
    return lines, result.ok_value.rest


def head(status_line=OK, fields=()):
    return b"".join(line + b"\r\n" for line in (status_line, *fields, b""))


@pytest.mark.parametrize("status_line", STATUS_LINES)
def test_status_line_is_valid(status_line):
    data = head(status_line, [b"X: y"])
    assert check(data + b"body") == (data, b"body")


@pytest.mark.parametrize("status_line", BAD_STATUS_LINES)
def test_status_line_is_invalid(status_line):
    assert check(head(status_line)) is ResponseFault.STATUS_LINE


@pytest.mark.parametrize("field", FIELDS)
def test_field_is_valid(field):
    data = head(fields=[b"A: b", field, b"C: d"])
    assert check(data + b"body") == (data, b"body")


# Guards against a line that a client reads unlike this process, wherever it stands.
@pytest.mark.parametrize("field", BAD_FIELDS)
@pytest.mark.parametrize("before", [(), (b"A: b",)], ids=["first", "later"])
def test_field_is_invalid(before, field):
    assert check(head(fields=[*before, field, b"C: d"])) is ResponseFault.FIELD_LINE


@pytest.mark.parametrize(
    ("data", "fault"),
    [
        (b"garbage", ResponseFault.STATUS_LINE),
        (b"\r\n", ResponseFault.STATUS_LINE),
        (OK + b"\n", ResponseFault.STATUS_LINE),
        (OK + b"\r\nX y", ResponseFault.FIELD_LINE),
        (OK + b"\r\nX: \x00", ResponseFault.FIELD_LINE),
        (OK + b"x" * MAX_LINE_BYTES, ResponseFault.LONG_LINE),
        (OK + b"\r\nX: " + b"x" * MAX_LINE_BYTES, ResponseFault.LONG_LINE),
    ],
)
# Guards against a wait for the rest of a line that is invalid already.
def test_incomplete_line_is_invalid(data, fault):
    assert check(data) is fault


def test_heads_follow_each_other():
    head_lines = HeadLines()
    interim, final = head(b"HTTP/1.1 103 Early Hints", [b"Link: x"]), head()
    first = head_lines.add(interim + final + b"body").unwrap()
    assert (first.lines, first.rest) == (interim, final + b"body")
    second = head_lines.add(first.rest).unwrap()
    assert (second.lines, second.rest) == (final, b"body")


def test_violation_shows_some_of_the_bytes_escaped():
    violation = HeadLines().add(b"\x00\xff" * 1_000).unwrap_err()
    assert str(violation).startswith(r"invalid status line: \x00\xff\x00")
    # Each byte takes four characters.
    assert len(violation.excerpt) == 4 * MAX_EXCERPT_LENGTH


LINES = st.sampled_from([*FIELDS, *BAD_FIELDS])


# Guards against bytes that are valid or not by how they arrive.
@given(
    status_line=st.sampled_from([*STATUS_LINES, *BAD_STATUS_LINES]),
    fields=st.lists(LINES, max_size=3),
    cuts=st.lists(st.integers(min_value=0, max_value=80), max_size=6),
)
def test_pieces_are_judged_like_the_whole(status_line, fields, cuts):
    data = head(status_line, fields)
    cuts = sorted(cut for cut in cuts if cut < len(data))
    assert check(data, cuts=cuts) == check(data)
