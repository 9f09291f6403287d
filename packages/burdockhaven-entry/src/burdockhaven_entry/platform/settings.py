"""Parses the YAML settings file that the platform writes for each process."""

from dataclasses import dataclass
from typing import Annotated, Any

import msgspec

SETTINGS_VARIABLE = "BURDOCKHAVEN_SETTINGS"

Address = Annotated[str, msgspec.Meta(pattern=r"^\d+\.\d+\.\d+\.\d+:\d+$")]
Positive = Annotated[float, msgspec.Meta(gt=0)]
NotNegative = Annotated[float, msgspec.Meta(ge=0)]


# Part of the rules by which targets end when the requests that they hold exceed their
# memory.
MEMORY_PRESSURE = "pressure"

# Limits of a process in bytes and descriptors if the file doesn't state them.
DEFAULT_MEMORY_BYTES = 512 * 10**6
DEFAULT_MAX_DESCRIPTORS = 4096
BYTES_PER_MB = 10**6


class SettingsError(ValueError):
    """The settings are invalid; `faults` lists every fault."""

    def __init__(self, faults: list[str]) -> None:
        super().__init__("; ".join(faults))
        self.faults = faults


@dataclass(frozen=True, slots=True)
class PlatformSettings:
    """Settings of one process, translated from the platform's file."""

    # Name of the VM.
    node: str
    ip: str
    zone: str
    # Address for requests of clients.
    front_address: str
    readiness_address: str
    # Address from which other members fetch configurations.
    control_address: str
    # Address for look-ups of clients.
    directory_address: str
    # UDP port for messages between members; the same on all VMs.
    peer_port: int
    # Control addresses of some members; may be outdated.
    seeds: tuple[str, ...]
    store_address: str
    # Seconds after SIGTERM until the platform kills the process.
    grace_s: float
    # Retry budget: retries allowed per request, window in seconds and fixed allowance.
    retry_ratio: float
    retry_window_s: float
    retry_slack: float
    # Window of the quotas in seconds, and units allowed beyond a quota.
    quota_window_s: float
    quota_slack: float
    # Fraction of a quota that is tolerated beyond it.
    quota_excess: float
    # Seconds after its publication within which a configuration has to be in force.
    configuration_apply_s: float
    # Whether the system starts for the first time, so that no quota has been used yet.
    first_start: bool
    # Maximum time in seconds for which a client caches a look-up.
    look_up_ttl_max_s: float
    # Processor capacity of the VM in nominal cores; 0 if the file doesn't state it.
    processor_cores: float = 0.0
    # Whether targets end when the requests that they hold exceed their memory.
    targets_end_when_overfull: bool = False
    # Bytes of memory beyond which the platform ends the process; what the kernel has
    # received for it counts, too.
    memory_bytes: int = DEFAULT_MEMORY_BYTES
    # Descriptors that the process may have open, including some kept for files.
    max_descriptors: int = DEFAULT_MAX_DESCRIPTORS

    @property
    def listen_addresses(self) -> tuple[str, ...]:
        """TCP addresses at which the process serves clients and members."""
        return (
            self.readiness_address,
            self.control_address,
            self.directory_address,
            self.front_address,
        )


class _Listen(msgspec.Struct):
    front: Address
    readiness: Address
    control: Address
    directory: Address


class _Bounds(msgspec.Struct):
    grace_s: Positive
    retry_budget_ratio: NotNegative
    retry_window_s: Positive
    retry_slack: NotNegative
    quota_window_s: Positive
    quota_slack: NotNegative
    quota_excess: NotNegative = 0.0
    config_apply_ms: Positive = 2_000.0
    ttl_max_s: Positive = 5.0


class _Limits(msgspec.Struct):
    # Share of the time for which the process gets a core.
    cpu_share: NotNegative = 0.0
    # Speed of that core relative to a nominal one, in spite of the name.
    cores: NotNegative = 1.0
    memory_mb: Positive = DEFAULT_MEMORY_BYTES / BYTES_PER_MB
    max_fds: Annotated[int, msgspec.Meta(gt=0)] = DEFAULT_MAX_DESCRIPTORS


class _Platform(msgspec.Struct):
    address: Address


class _File(msgspec.Struct):
    node: str
    ip: str
    zone: str
    listen: _Listen
    port_range: Annotated[list[int], msgspec.Meta(min_length=2)]
    bounds: _Bounds
    platform: _Platform
    limits: _Limits = msgspec.field(default_factory=_Limits)
    seeds: list[Address] = []
    bootstrap: bool = False
    # Names of the parts of the platform's rules that are in force.
    contracts: list[str] = []


def read_settings(text: str) -> PlatformSettings:
    """Parse the settings file; raises `SettingsError` that lists all faults."""
    # Imported here, because the library is needed only while settings are read.
    import yaml

    try:
        # The C loader is several times faster, which shortens a restart.
        loader = getattr(yaml, "CSafeLoader", yaml.SafeLoader)
        raw: Any = yaml.load(text, Loader=loader)  # noqa: S506
    except yaml.YAMLError as error:
        raise SettingsError([f"not YAML: {error}"]) from error
    if not isinstance(raw, dict):
        raise SettingsError(["the file does not hold a mapping"])
    faults = _faults(raw)
    if faults:
        raise SettingsError(faults)
    return _to_settings(msgspec.convert(raw, _File))


def _faults(raw: dict[str, Any]) -> list[str]:
    """List all faults of the file; those inside a section are listed one by one."""
    faults = []
    for field in msgspec.structs.fields(_File):
        if field.name not in raw:
            if field.required:
                faults.append(f"{field.name}: missing")
            continue
        value = raw[field.name]
        nested = field.type if isinstance(field.type, type) else None
        if nested is not None and issubclass(nested, msgspec.Struct):
            faults += _section_faults(field.name, value, nested)
        else:
            faults += _value_faults(field.name, value, field.type)
    return faults


def _section_faults(
    section: str, value: Any, expected_type: type[msgspec.Struct]
) -> list[str]:
    if not isinstance(value, dict):
        return [f"{section}: not a mapping"]
    faults = []
    for field in msgspec.structs.fields(expected_type):
        name = f"{section}.{field.name}"
        if field.name in value:
            faults += _value_faults(name, value[field.name], field.type)
        elif field.required:
            faults.append(f"{name}: missing")
    return faults


def _value_faults(name: str, value: Any, expected_type: Any) -> list[str]:
    try:
        msgspec.convert(value, expected_type)
    except msgspec.ValidationError as error:
        return [f"{name}: {error}"]
    return []


def _to_settings(file: _File) -> PlatformSettings:
    return PlatformSettings(
        node=file.node,
        ip=file.ip,
        zone=file.zone,
        front_address=file.listen.front,
        readiness_address=file.listen.readiness,
        control_address=file.listen.control,
        directory_address=file.listen.directory,
        peer_port=file.port_range[0],
        seeds=tuple(file.seeds),
        store_address=file.platform.address,
        grace_s=file.bounds.grace_s,
        retry_ratio=file.bounds.retry_budget_ratio,
        retry_window_s=file.bounds.retry_window_s,
        retry_slack=file.bounds.retry_slack,
        quota_window_s=file.bounds.quota_window_s,
        quota_slack=file.bounds.quota_slack,
        quota_excess=file.bounds.quota_excess,
        configuration_apply_s=file.bounds.config_apply_ms / 1e3,
        first_start=file.bootstrap,
        look_up_ttl_max_s=file.bounds.ttl_max_s,
        targets_end_when_overfull=MEMORY_PRESSURE in file.contracts,
        processor_cores=file.limits.cpu_share * file.limits.cores,
        memory_bytes=int(file.limits.memory_mb * BYTES_PER_MB),
        max_descriptors=file.limits.max_fds,
    )
