"""Types of single settings and the rules that read them from text."""

import ipaddress
import re
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any
from urllib.parse import urlsplit

MAX_PORT = 65_535
NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")


@dataclass(frozen=True, slots=True)
class Address:
    """An IP address and a port."""

    # The IP address, without brackets.
    host: str
    # 0 lets the system pick a free port.
    port: int

    def __str__(self) -> str:
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"{host}:{self.port}"


class Secret:
    """A text that must not reach a log, a page or an error message.

    `reveal` is the only way to its value, so that each use can be searched for.
    """

    __slots__ = ("_text",)

    def __init__(self, text: str) -> None:
        self._text = text

    def reveal(self) -> str:
        """The secret itself."""
        return self._text

    def __repr__(self) -> str:
        return "Secret(***)"

    __str__ = __repr__


@dataclass(frozen=True, slots=True)
class SettingType:
    """How a setting's text is read."""

    # What is accepted, in words.
    allowed: str
    # The value of the text; None if the text is not accepted.
    parse: Callable[[str], Any]


@dataclass(frozen=True, slots=True)
class SettingSpec:
    """One key of the settings file."""

    section: str
    key: str
    value_type: SettingType
    # The text taken when the key is absent; None if the key has to be there.
    default: str | None = None
    # The field that holds the value; None if it has the key's name.
    field: str | None = None


def integer(minimum: int, maximum: int) -> SettingType:
    """Accepts a whole number within the bounds, both included."""

    def parse(text: str) -> int | None:
        if not re.fullmatch(r"[0-9]{1,18}", text):
            return None
        value = int(text)
        return value if minimum <= value <= maximum else None

    return SettingType(f"a whole number from {minimum} to {maximum}", parse)


def choice(*values: str) -> SettingType:
    """Accepts one of the words."""

    def parse(text: str) -> str | None:
        return text if text in values else None

    return SettingType("one of " + ", ".join(values), parse)


def _parse_name(text: str) -> str | None:
    return text if NAME_PATTERN.fullmatch(text) else None


def _parse_address(text: str) -> Address | None:
    host, separator, port = text.rpartition(":")
    if not separator or not re.fullmatch(r"[0-9]{1,5}", port):
        return None
    if int(port) > MAX_PORT:
        return None
    unbracketed = _parse_host(host)
    return Address(unbracketed, int(port)) if unbracketed is not None else None


def _parse_host(host: str) -> str | None:
    """The IP address, without its brackets; None if it cannot be connected to."""
    bracketed = host.startswith("[") and host.endswith("]")
    unbracketed = host[1:-1] if bracketed else host
    try:
        address = ipaddress.ip_address(unbracketed)
    except ValueError:
        return None
    if address.is_unspecified or address.is_multicast:
        return None
    if (address.version == 6) != bracketed:
        return None
    return str(address)


def _parse_url(text: str) -> str | None:
    try:
        parts = urlsplit(text)
        port = parts.port
    except ValueError:
        return None
    if parts.scheme not in ("http", "https") or port is None:
        return None
    if parts.username or parts.query or parts.fragment or parts.path.strip("/"):
        return None
    if _parse_address(parts.netloc) is None:
        return None
    return f"{parts.scheme}://{parts.netloc}"


NAME = SettingType("1 to 63 letters, digits, dots, dashes or underscores", _parse_name)
IP_ADDRESS_AND_PORT = SettingType(
    "IP:port, such as 10.0.0.7:8100 or [fd00::7]:8100; the IP must be one that others "
    "can connect to, and port 0 picks a free one",
    _parse_address,
)
SERVICE_URL = SettingType("http://IP:port or https://IP:port", _parse_url)
OPTIONAL_PATH = SettingType("a path", lambda text: text)
