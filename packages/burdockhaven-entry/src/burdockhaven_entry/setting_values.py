"""Setting types: how the text of each setting is parsed and validated."""

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

    # IP address, without brackets.
    host: str
    # 0 if the operating system is to choose a free port.
    port: int

    def __str__(self) -> str:
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"{host}:{self.port}"


class Secret:
    """A text that must not appear in a log, a page or an error message.

    `reveal` is the only access to the value, so that every use can be found by search.
    """

    __slots__ = ("_text",)

    def __init__(self, text: str) -> None:
        self._text = text

    def reveal(self) -> str:
        """Return the secret text."""
        return self._text

    def __repr__(self) -> str:
        return "Secret(***)"

    __str__ = __repr__


@dataclass(frozen=True, slots=True)
class SettingType:
    """Type of a setting: its parser and a description of the allowed values."""

    # Description of the allowed values, for error messages.
    allowed: str
    # Returns the value, or None if the text is not allowed.
    parse: Callable[[str], Any]


@dataclass(frozen=True, slots=True)
class SettingSpec:
    """One key of the settings file."""

    section: str
    key: str
    value_type: SettingType
    # Text that is used if the key is absent; None if the key is required.
    default: str | None = None
    # Name of the field that holds the value; None if it equals the key.
    field: str | None = None


def integer(minimum: int, maximum: int) -> SettingType:
    """Create a type for an integer within the bounds, which are inclusive."""

    def parse(text: str) -> int | None:
        if not re.fullmatch(r"[0-9]{1,18}", text):
            return None
        value = int(text)
        return value if minimum <= value <= maximum else None

    return SettingType(f"an integer from {minimum} to {maximum}", parse)


def choice(*values: str) -> SettingType:
    """Create a type for one of the values."""

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
    """Return the IP address without brackets; None if no one can connect to it."""
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
    "IP:port, such as 10.0.0.7:8100 or [fd00::7]:8100; others must be able to connect "
    "to the IP, and port 0 selects a free port",
    _parse_address,
)
SERVICE_URL = SettingType("http://IP:port or https://IP:port", _parse_url)
OPTIONAL_PATH = SettingType("a path", lambda text: text)
