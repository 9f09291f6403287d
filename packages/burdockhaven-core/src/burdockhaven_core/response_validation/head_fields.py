"""Checks what the fields of a parsed response head say together."""

import re
from collections.abc import Collection
from typing import Protocol

from burdockhaven_core.response_validation.violation import ResponseFault, Violation

SWITCHING_PROTOCOLS = 101
# Lower ones are those of interim responses, which others follow.
FIRST_FINAL_STATUS = 200
CONTENT_LENGTH = "Content-Length"
TRANSFER_ENCODING = "Transfer-Encoding"
CHUNKED = "chunked"
LENGTH = re.compile("[0-9]+")


class Fields(Protocol):
    """The fields of a head, by name in any case."""

    def getall(self, key: str, default: list[str]) -> list[str]:
        """Return the values of all fields with the name, or the default."""


def find_head_violation(
    status: int,
    allows_codings: bool,
    fields: Fields,
    single_fields: Collection[str] = (),
) -> Violation | None:
    """Return what is wrong with a head whose lines are valid; None if nothing.

    `allows_codings` tells whether its version of the protocol has transfer codings.
    `single_fields` are the names of fields that decide how the response is used: they
    may come again only with the same value. Of an interim response only the status
    counts, since nothing else in it is used.
    """
    if status == SWITCHING_PROTOCOLS:
        return Violation(ResponseFault.UPGRADE, f"status {status}")
    if status < FIRST_FINAL_STATUS:
        return None
    ambiguous_length = _find_ambiguous_length(
        allows_codings,
        fields.getall(CONTENT_LENGTH, []),
        fields.getall(TRANSFER_ENCODING, []),
    )
    return ambiguous_length or _find_repeated_field(fields, single_fields)


def _find_ambiguous_length(
    allows_codings: bool, lengths: list[str], codings: list[str]
) -> Violation | None:
    """Return why readers may disagree on where the body ends; None if they can't.

    No request allows codings other than chunks. Where both fields are present, RFC 9112
    lets readers choose and tells them to handle the response as an error.
    """
    if codings:
        text = ", ".join(codings)
        if lengths or not allows_codings or text.lower() != CHUNKED:
            return Violation.from_text(ResponseFault.FRAMING, f"coding {text}")
    elif len(set(lengths)) > 1 or any(not LENGTH.fullmatch(text) for text in lengths):
        text = ", ".join(lengths)
        return Violation.from_text(ResponseFault.FRAMING, f"length {text}")
    return None


def _find_repeated_field(fields: Fields, names: Collection[str]) -> Violation | None:
    for name in names:
        values = fields.getall(name, [])
        if len(set(values)) > 1:
            text = f"{name}: {' and '.join(values)}"
            return Violation.from_text(ResponseFault.REPEATED_FIELD, text)
    return None
