"""Encoding of the configuration: JSON for operators, MessagePack between members.

Decoding is strict: a wrong type is a fault that names its path, and so is an unknown
field in JSON. Encoding sorts keys, so that equal configurations have equal bytes.
"""

from typing import Any, TypeVar

import msgspec
from result import Err, Ok, Result

from burdockhaven_core.configuration import (
    AccountParameters,
    Configuration,
    Template,
)
from burdockhaven_core.configuration_check import Fault

T = TypeVar("T")

_json = msgspec.json.Encoder(order="sorted")
_msgpack = msgspec.msgpack.Encoder(order="sorted")


def encode_configuration(configuration: Configuration) -> bytes:
    """Encode the configuration as MessagePack."""
    return _msgpack.encode(configuration)


def decode_configuration(data: bytes) -> Result[Configuration, Fault]:
    """Decode a configuration from MessagePack."""
    try:
        return Ok(msgspec.msgpack.decode(data, type=Configuration))
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return Err(_decoding_fault(str(error)))


def encode_json(value: object) -> bytes:
    """Encode a data class as JSON."""
    return _json.encode(value)


def decode_json(data: bytes, kind: type[T]) -> Result[T, Fault]:
    """Decode a data class of the type `kind` from JSON, rejecting unknown fields."""
    try:
        raw = msgspec.json.decode(data)
        unknown = _check_unknown_fields(raw, kind)
        if unknown is not None:
            return Err(unknown)
        return Ok(msgspec.convert(raw, kind))
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return Err(_decoding_fault(str(error)))


def decode_template(data: bytes) -> Result[Template, Fault]:
    """Decode a template from JSON."""
    return decode_json(data, Template)


def decode_account(data: bytes) -> Result[AccountParameters, Fault]:
    """Decode the parameters of a client account from JSON."""
    return decode_json(data, AccountParameters)


def _decoding_fault(message: str) -> Fault:
    problem, _, path = message.partition(" - at `")
    return Fault(
        path=path.rstrip("`") or "$",
        seen=problem,
        allowed="a value of the documented type",
        remedy="correct the value at this path",
    )


def _check_unknown_fields(raw: Any, kind: Any, path: str = "$") -> Fault | None:
    """Return a fault for the first field that the data class does not have, if any."""
    info = msgspec.inspect.type_info(kind)
    return _find_unknown_field(raw, info, path)


def _find_unknown_field(
    raw: Any, info: msgspec.inspect.Type, path: str
) -> Fault | None:
    if isinstance(info, msgspec.inspect.UnionType):
        found = [_find_unknown_field(raw, each, path) for each in info.types]
        return None if None in found else found[0]
    if isinstance(info, msgspec.inspect.DataclassType) and isinstance(raw, dict):
        fields = {each.encode_name: each.type for each in info.fields}
        for name, value in raw.items():
            if name not in fields:
                allowed = "one of: " + ", ".join(fields)
                remedy = "remove the field or correct its name"
                return Fault(f"{path}.{name}", str(name), allowed, remedy)
            fault = _find_unknown_field(value, fields[name], f"{path}.{name}")
            if fault is not None:
                return fault
    if isinstance(info, msgspec.inspect.VarTupleType) and isinstance(raw, list):
        for number, value in enumerate(raw):
            fault = _find_unknown_field(value, info.item_type, f"{path}[{number}]")
            if fault is not None:
                return fault
    if isinstance(info, msgspec.inspect.DictType) and isinstance(raw, dict):
        for name, value in raw.items():
            fault = _find_unknown_field(value, info.value_type, f"{path}.{name}")
            if fault is not None:
                return fault
    return None
