"""Encodings round-trip a configuration, and faults of bad input name their path."""

import pytest

from burdockhaven_core.configuration import Configuration, Template
from burdockhaven_core.configuration_codec import (
    decode_account,
    decode_configuration,
    decode_json,
    decode_template,
    encode_configuration,
    encode_json,
)
from burdockhaven_standins.samples import CONFIGURATION, TEMPLATE


def test_a_configuration_survives_both_encodings():
    assert decode_configuration(encode_configuration(CONFIGURATION)).unwrap() == (
        CONFIGURATION
    )
    data = encode_json(CONFIGURATION)
    assert decode_json(data, Configuration).unwrap() == CONFIGURATION


def test_equal_configurations_have_equal_bytes():
    one = Configuration(1, {"a": Template("a", (), ()), "b": Template("b", (), ())})
    other = Configuration(1, {"b": Template("b", (), ()), "a": Template("a", (), ())})
    assert encode_configuration(one) == encode_configuration(other)


@pytest.mark.parametrize(
    ("data", "path"),
    [
        (b"{", "$"),
        (b"\xff", "$"),
        (b"[]", "$"),
        (b'{"name": 3, "groups": [], "classes": []}', "$.name"),
        (b'{"name": "a", "groups": [{"name": "g"}], "classes": []}', "$.groups[0]"),
        (b'{"name": "a", "groups": [], "classes": [], "teir": 1}', "$.teir"),
        (
            b'{"name":"a","groups":[],"classes":[{"name":"c","prio":1}]}',
            "$.classes[0].prio",
        ),
    ],
)
def test_a_fault_in_json_names_its_path(data, path):
    assert decode_template(data).err().path == path


def test_an_unknown_field_in_an_optional_place_is_found():
    fault = decode_account(b'{"account": "a", "template": "t", "key": "k"}').err()
    assert fault.path == "$.key"


@pytest.mark.parametrize("data", [b"", b"\x00", b"\xc1", encode_json(TEMPLATE)])
def test_malformed_bytes_of_a_peer_are_refused(data):
    assert decode_configuration(data).is_err()
