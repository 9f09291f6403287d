import pytest

from burdockhaven_core.response_validation import ResponseFault, find_head_violation


class Fields(dict):
    """Values by name."""

    def getall(self, key, default):
        return self.get(key, default)


def fault_of(status=200, *, allows_codings=True, single=(), **values):
    fields = Fields({name.replace("_", "-"): v for name, v in values.items()})
    violation = find_head_violation(status, allows_codings, fields, single)
    return None if violation is None else violation.fault


def test_only_a_switch_of_protocols_is_no_interim_response():
    assert fault_of(101) is ResponseFault.UPGRADE
    assert [fault_of(status) for status in (100, 102, 103, 199, 200, 599)] == [None] * 6


@pytest.mark.parametrize(
    ("codings", "lengths", "allows_codings", "is_valid"),
    [
        ([], [], True, True),
        ([], ["5"], True, True),
        ([], ["5", "5"], True, True),
        ([], ["5"], False, True),
        (["chunked"], [], True, True),
        (["Chunked"], [], True, True),
        ([], ["5", "6"], True, False),
        ([], ["+5"], True, False),
        ([], [""], True, False),
        ([], ["\u00b2"], True, False),
        (["chunked"], ["5"], True, False),
        (["chunked"], [], False, False),
        (["chunked", "chunked"], [], True, False),
        (["gzip, chunked"], [], True, False),
        (["chunked, gzip"], [], True, False),
        (["chunked;q=1"], [], True, False),
        (["xchunked"], [], True, False),
        (["identity"], ["5"], True, False),
        ([""], ["5"], True, False),
    ],
)
def test_body_ends_in_a_single_way(codings, lengths, allows_codings, is_valid):
    values = {"Transfer_Encoding": codings, "Content_Length": lengths}
    present = {name: value for name, value in values.items() if value}
    fault = fault_of(allows_codings=allows_codings, **present)
    assert fault is (None if is_valid else ResponseFault.FRAMING)


def test_field_may_be_repeated_with_one_value_only():
    assert fault_of(single=["Id"], Id=["a", "a"], Other=["a", "b"]) is None
    assert fault_of(single=["Id"], Id=["a", "b"]) is ResponseFault.REPEATED_FIELD
