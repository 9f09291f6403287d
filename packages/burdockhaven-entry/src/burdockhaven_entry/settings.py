"""The daemon's settings: an INI file, checked whole before anything starts."""

import configparser
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from result import Err, Ok, Result

from burdockhaven_entry.setting_values import (
    IP_ADDRESS_AND_PORT,
    NAME,
    OPTIONAL_PATH,
    SERVICE_URL,
    Address,
    Secret,
    SettingSpec,
    choice,
    integer,
)

ASSIGNMENT_KEY_VARIABLE = "BURDOCKHAVEN_ASSIGNMENT_KEY"
OPERATOR_TOKEN_VARIABLE = "BURDOCKHAVEN_OPERATOR_TOKEN"

# A shorter secret could be guessed.
MIN_SECRET_CHARACTERS = 16

# A member that misses fewer heartbeats than this is not taken for lost.
MIN_HEARTBEATS_PER_TIMEOUT = 3


@dataclass(frozen=True, slots=True)
class SettingFault:
    """One thing that is wrong with the settings."""

    # Empty when the fault is not in one section.
    section: str
    # Empty when the fault is not in one key.
    key: str
    # The value as found, or None when there is none; a secret's is never shown.
    seen: str | None
    # What would have been accepted.
    allowed: str

    def __str__(self) -> str:
        place = f"[{self.section}] {self.key}".strip() if self.section else "settings"
        found = "missing" if self.seen is None else f"found {self.seen!r}"
        return f"{place}: {found}; allowed: {self.allowed}"


@dataclass(frozen=True, slots=True)
class EntrySettings:
    """Everything the daemon learns at its start, and nothing that changes later."""

    # The entry's name; it stays the same over restarts.
    name: str
    # The availability zone that the VM runs in.
    zone: str
    # Where callers connect.
    caller_address: Address
    # Where operators connect and metrics are scraped.
    admin_address: Address
    # Where other members connect.
    peer_address: Address
    # Base URL of the platform's key-value service.
    key_value_url: str
    # Base URL of the platform's list of VMs.
    vm_list_url: str
    # Signs and checks assignments; the same on every entry.
    assignment_key: Secret
    # Authenticates operators.
    operator_token: Secret
    # Milliseconds between two heartbeats to a member.
    heartbeat_interval_ms: int
    # Milliseconds without a heartbeat after which a member counts as silent.
    member_timeout_ms: int
    # Seconds for which a caller may use an assignment.
    assignment_lifetime_s: int
    # Bytes of the largest request body.
    max_body_bytes: int
    # Requests that wait in this entry at most.
    max_queue: int
    # "text" or "json".
    log_format: str
    # The lowest level that is logged.
    log_level: str

    @classmethod
    def from_file(
        cls, path: Path, environ: Mapping[str, str]
    ) -> Result["EntrySettings", tuple[SettingFault, ...]]:
        """The settings in the file, or every fault in them at once.

        Secrets come from the environment or else from the file that a key names.
        """
        parser = _create_parser()
        try:
            parser.read_string(path.read_text(encoding="utf-8"), source=path.name)
        except (OSError, UnicodeDecodeError) as error:
            return Err((SettingFault("", "", str(path), f"a readable file: {error}"),))
        except configparser.Error as error:
            return Err((SettingFault("", "", path.name, f"INI: {error.message}"),))
        return cls.from_parser(parser, environ)

    @classmethod
    def from_parser(
        cls, parser: configparser.ConfigParser, environ: Mapping[str, str]
    ) -> Result["EntrySettings", tuple[SettingFault, ...]]:
        """The settings that the parser has read, or every fault in them at once."""
        faults = _find_unknown_keys(parser)
        values: dict[str, Any] = {}
        for spec in SETTING_SPECS:
            _read_value(parser, spec, values, faults)
        for field, variable in SECRET_VARIABLES.items():
            _read_secret(field, variable, values, environ, faults)
        faults.extend(_find_conflicts(values))
        if faults:
            return Err(tuple(faults))
        return Ok(cls(**values))


# Every key of the file. A key without a default has to be there.
SETTING_SPECS = (
    SettingSpec("entry", "name", NAME),
    SettingSpec("entry", "zone", NAME),
    SettingSpec("entry", "caller_address", IP_ADDRESS_AND_PORT),
    SettingSpec("entry", "admin_address", IP_ADDRESS_AND_PORT),
    SettingSpec("entry", "peer_address", IP_ADDRESS_AND_PORT),
    SettingSpec("platform", "key_value_url", SERVICE_URL),
    SettingSpec("platform", "vm_list_url", SERVICE_URL),
    SettingSpec("secrets", "assignment_key_file", OPTIONAL_PATH, default=""),
    SettingSpec("secrets", "operator_token_file", OPTIONAL_PATH, default=""),
    SettingSpec("timing", "heartbeat_interval_ms", integer(50, 10_000), default="500"),
    SettingSpec("timing", "member_timeout_ms", integer(150, 60_000), default="3000"),
    SettingSpec("timing", "assignment_lifetime_s", integer(1, 3600), default="30"),
    SettingSpec("limits", "max_body_bytes", integer(1024, 1 << 28), default="8388608"),
    SettingSpec("limits", "max_queue", integer(1, 1_000_000), default="10000"),
    SettingSpec("log", "format", choice("text", "json"), "text", field="log_format"),
    SettingSpec(
        "log",
        "level",
        choice("debug", "info", "warning", "error"),
        "info",
        field="log_level",
    ),
)

# The environment variable of each secret, by field; its key is the field's name with
# `_file` added.
SECRET_VARIABLES = {
    "assignment_key": ASSIGNMENT_KEY_VARIABLE,
    "operator_token": OPERATOR_TOKEN_VARIABLE,
}


def _create_parser() -> configparser.ConfigParser:
    # No section's name is empty, so no section lends its keys to the others.
    return configparser.ConfigParser(interpolation=None, default_section="")


def _find_unknown_keys(parser: configparser.ConfigParser) -> list[SettingFault]:
    known: dict[str, list[str]] = {}
    for spec in SETTING_SPECS:
        known.setdefault(spec.section, []).append(spec.key)
    faults = []
    for section in parser.sections():
        if section not in known:
            allowed = "sections " + ", ".join(known)
            faults.append(SettingFault(section, "", f"[{section}]", allowed))
            continue
        for key in parser.options(section):
            if key not in known[section]:
                allowed = "keys " + ", ".join(known[section])
                faults.append(SettingFault(section, key, key, allowed))
    return faults


def _read_value(
    parser: configparser.ConfigParser,
    spec: SettingSpec,
    values: dict[str, Any],
    faults: list[SettingFault],
) -> None:
    text = parser.get(spec.section, spec.key, fallback=spec.default)
    if text is None:
        allowed = spec.value_type.allowed
        faults.append(SettingFault(spec.section, spec.key, None, allowed))
        return
    value = spec.value_type.parse(text)
    if value is None:
        faults.append(
            SettingFault(spec.section, spec.key, text, spec.value_type.allowed)
        )
        return
    values[spec.field or spec.key] = value


def _read_secret(
    field: str,
    variable: str,
    values: dict[str, Any],
    environ: Mapping[str, str],
    faults: list[SettingFault],
) -> None:
    key = f"{field}_file"
    path = values.pop(key, "")
    allowed = (
        f"a secret of at least {MIN_SECRET_CHARACTERS} characters, in the environment "
        f"variable {variable} or in the file that this key names"
    )
    text = environ.get(variable, "").strip()
    if not text and not path:
        faults.append(SettingFault("secrets", key, None, allowed))
        return
    if not text:
        try:
            text = Path(path).read_text(encoding="utf-8").strip()
        except (OSError, UnicodeDecodeError):
            faults.append(SettingFault("secrets", key, path, f"{allowed} (unreadable)"))
            return
    if len(text) < MIN_SECRET_CHARACTERS:
        seen = f"{len(text)} characters (not shown)"
        faults.append(SettingFault("secrets", key, seen, allowed))
        return
    values[field] = Secret(text)


def _find_conflicts(values: dict[str, Any]) -> list[SettingFault]:
    """Faults of values that are right one by one but not together."""
    faults = []
    interval = values.get("heartbeat_interval_ms")
    timeout = values.get("member_timeout_ms")
    if interval is not None and timeout is not None:
        minimum = MIN_HEARTBEATS_PER_TIMEOUT * interval
        if timeout < minimum:
            allowed = f"at least {minimum}, {MIN_HEARTBEATS_PER_TIMEOUT} heartbeats"
            faults.append(
                SettingFault("timing", "member_timeout_ms", str(timeout), allowed)
            )
    keys_by_address: dict[Address, str] = {}
    for key in ("caller_address", "admin_address", "peer_address"):
        address = values.get(key)
        if address is None or address.port == 0:
            continue
        if address in keys_by_address:
            allowed = f"an address other than that of {keys_by_address[address]}"
            faults.append(SettingFault("entry", key, str(address), allowed))
        keys_by_address[address] = key
    return faults
