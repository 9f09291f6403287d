"""Settings of the daemon: an INI file that is validated before anything starts."""

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

# Shorter secrets could be guessed.
MIN_SECRET_CHARACTERS = 16

# A member must not time out after fewer missed heartbeats than this.
MIN_HEARTBEATS_PER_TIMEOUT = 3


@dataclass(frozen=True, slots=True)
class SettingFault:
    """A fault in the settings."""

    # Empty if the fault is not in a single section.
    section: str
    # Empty if the fault is not in a single key.
    key: str
    # The value found, or None if it is missing; the value of a secret is never shown.
    seen: str | None
    # Description of the allowed values.
    allowed: str

    def __str__(self) -> str:
        location = (
            f"[{self.section}] {self.key}".strip() if self.section else "settings"
        )
        found = "missing" if self.seen is None else f"found {self.seen!r}"
        return f"{location}: {found}; allowed: {self.allowed}"


@dataclass(frozen=True, slots=True)
class EntrySettings:
    """Settings that the daemon reads at start and that stay constant afterwards."""

    # Name of the entry; stable across restarts.
    name: str
    # Availability zone of the VM.
    zone: str
    # Address for callers.
    caller_address: Address
    # Address for operators and for metrics scrapes.
    admin_address: Address
    # Address for other members.
    peer_address: Address
    # Base URL of the platform's key-value service.
    key_value_url: str
    # Base URL of the platform's list of VMs.
    vm_list_url: str
    # Signs and checks assignments; the same on every entry.
    assignment_key: Secret
    # Authenticates operators.
    operator_token: Secret
    # Interval between two heartbeats to a member.
    heartbeat_interval_ms: int
    # Time without a heartbeat after which a member is silent.
    member_timeout_ms: int
    # Time for which a caller may use an assignment.
    assignment_lifetime_s: int
    # Maximum size of a request body.
    max_body_bytes: int
    # Maximum number of requests that wait in this entry.
    max_queue: int
    # "text" or "json".
    log_format: str
    # Lowest level that is logged.
    log_level: str

    @classmethod
    def from_file(
        cls, path: Path, environ: Mapping[str, str]
    ) -> Result["EntrySettings", tuple[SettingFault, ...]]:
        """Read the settings from a file, or return all of their faults.

        Secrets come from the environment, or otherwise from the file that a key names.
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
        """Validate the settings that the parser has read, or return all faults."""
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


# All keys of the file; those without a default are required.
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

# Environment variable of each secret by field; the key of its file is the field name
# followed by `_file`.
SECRET_VARIABLES = {
    "assignment_key": ASSIGNMENT_KEY_VARIABLE,
    "operator_token": OPERATOR_TOKEN_VARIABLE,
}


def _create_parser() -> configparser.ConfigParser:
    # No section has an empty name, so no section provides defaults for the others.
    return configparser.ConfigParser(interpolation=None, default_section="")


def _find_unknown_keys(parser: configparser.ConfigParser) -> list[SettingFault]:
    keys_by_section: dict[str, list[str]] = {}
    for spec in SETTING_SPECS:
        keys_by_section.setdefault(spec.section, []).append(spec.key)
    faults = []
    for section in parser.sections():
        if section not in keys_by_section:
            allowed = "sections " + ", ".join(keys_by_section)
            faults.append(SettingFault(section, "", f"[{section}]", allowed))
            continue
        for key in parser.options(section):
            if key not in keys_by_section[section]:
                allowed = "keys " + ", ".join(keys_by_section[section])
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
    """Return faults of values that are valid on their own but not together."""
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
