"""Test site of real processes on loopback: platform, targets and entries."""

import asyncio
import hashlib
import random
import secrets
import tempfile
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path

import httpx
import msgspec

from burdockhaven_core.configuration import (
    AccountParameters,
    ClassSpec,
    Configuration,
    GroupKind,
    GroupSpec,
    TargetSpec,
    Template,
)
from burdockhaven_core.configuration_store import WrittenBack, synchronise
from burdockhaven_core.identity import AccountName, GroupName, TargetName
from burdockhaven_entry.kv_client import KvClient
from burdockhaven_standins.ports import free_addresses
from burdockhaven_standins.processes import ProcessGroup, RunningProcess
from burdockhaven_standins.vm_list import Vm

HOST = "127.0.0.1"
ZONE = "zone-a"
SECRET_BYTES = 32
# Seconds that a stop may take in addition to the drain.
STOP_MARGIN_S = 30.0

SETTINGS = """\
[entry]
name = {name}
zone = {zone}
caller_address = {caller}
admin_address = {admin}
peer_address = {peer}

[platform]
key_value_url = {key_value}
vm_list_url = {vm_list}

[secrets]
assignment_key_file = {directory}/assignment-key
operator_token_file = {directory}/operator-token

[timing]
heartbeat_interval_ms = {heartbeat_interval_ms}
assignment_lifetime_s = {assignment_lifetime_s}
"""


@dataclass(frozen=True, slots=True)
class SiteTiming:
    """Timing settings of the entries; the defaults are short, for tests that wait."""

    # Milliseconds between two heartbeats of an entry.
    heartbeat_interval_ms: int = 200
    # Lifetime of an assignment in seconds, and the minimum time that a drain takes.
    assignment_lifetime_s: int = 3


class NotPublishedError(Exception):
    """The configuration could not be written to the key-value service."""


@dataclass(slots=True)
class SiteEntry:
    """A running entry."""

    process: RunningProcess
    # Host and port of each listening socket.
    caller_address: str
    admin_address: str
    peer_address: str


@dataclass(slots=True)
class Site:
    """The processes of a site, which are stopped when the `with` block ends."""

    directory: Path
    # Token of the operators.
    token: str
    group: ProcessGroup
    key_value: RunningProcess
    vm_list: RunningProcess
    timing: SiteTiming
    vms: list[Vm] = field(default_factory=list)
    # Engines and plain services by name.
    targets: dict[str, RunningProcess] = field(default_factory=dict)
    entries: list[SiteEntry] = field(default_factory=list)

    @classmethod
    def start(cls, timing: SiteTiming | None = None) -> "Site":
        """Start a site with its platform, but without targets and entries."""
        directory = Path(tempfile.mkdtemp(prefix="burdockhaven-"))
        token = secrets.token_hex(SECRET_BYTES)
        (directory / "operator-token").write_text(token)
        (directory / "assignment-key").write_text(secrets.token_hex(SECRET_BYTES))
        group = ProcessGroup()
        try:
            key_value = group.start_stand_in("kv", "kv")
            vm_list = group.start_stand_in("vms", "vms")
        except BaseException:
            group.stop()
            raise
        return cls(directory, token, group, key_value, vm_list, timing or SiteTiming())

    def __enter__(self) -> "Site":
        return self

    def __exit__(self, *_: object) -> None:
        for entry in self.entries:
            entry.process.kill()
        self.group.stop()
        for path in self.directory.iterdir():
            path.unlink()
        self.directory.rmdir()

    def add_target(self, kind: str, name: str, *options: str) -> RunningProcess:
        """Start an engine or a plain service and add its VM to the VM list."""
        target = self.group.start_stand_in(kind, name, *options)
        self.targets[name] = target
        self.vms.append(Vm(target.ready_text, ZONE))
        self.publish_vms()
        return target

    def add_entry(self, name: str) -> SiteEntry:
        """Start an entry and add its VM to the VM list."""
        caller, admin, peer = free_addresses(3)
        settings = SETTINGS.format(
            name=name,
            zone=ZONE,
            caller=caller,
            admin=admin,
            peer=peer,
            key_value=self.key_value.url,
            vm_list=self.vm_list.url,
            directory=self.directory,
            heartbeat_interval_ms=self.timing.heartbeat_interval_ms,
            assignment_lifetime_s=self.timing.assignment_lifetime_s,
        )
        path = self.directory / f"{name}.ini"
        path.write_text(settings)
        self.vms.append(Vm(peer, ZONE))
        self.publish_vms()
        entry = SiteEntry(self._start_entry(name), caller, admin, peer)
        self.entries.append(entry)
        return entry

    def _start_entry(self, name: str) -> RunningProcess:
        path = self.directory / f"{name}.ini"
        return self.group.start(name, ["burdockhaven_entry", "--config", str(path)])

    def restart(self, entry: SiteEntry) -> int:
        """Stop an entry gracefully and start it again; returns the exit code."""
        entry.process.terminate()
        code = entry.process.wait(self.timing.assignment_lifetime_s + STOP_MARGIN_S)
        entry.process = self._start_entry(entry.process.name)
        return code

    def mark_leaving(self, address: str) -> None:
        """Mark a VM as leaving in the VM list."""
        self.vms = [
            Vm(vm.address, vm.zone, "leaving") if vm.address == address else vm
            for vm in self.vms
        ]
        self.publish_vms()

    def publish_vms(self) -> None:
        """Send the VMs of the site to the VM list."""
        vms = [msgspec.to_builtins(vm) for vm in self.vms]
        url = f"{self.vm_list.url}/control"
        httpx.post(url, json={"vms": vms}, trust_env=False).raise_for_status()

    def publish(self, configuration: Configuration) -> None:
        """Write the configuration to the key-value service as the accepted version.

        Raises:
            NotPublishedError: The configuration was not written.
        """
        asyncio.run(self._publish(configuration))

    async def _publish(self, configuration: Configuration) -> None:
        kv_client = KvClient.from_url(self.key_value.url, random.Random(0))
        try:
            outcome = await kv_client.run(synchronise(configuration))
        finally:
            await kv_client.close()
        if not isinstance(outcome, WrittenBack):
            raise NotPublishedError(repr(outcome))


def group_spec(
    name: str, kind: GroupKind, processes: Sequence[RunningProcess], slots: int = 8
) -> GroupSpec:
    """Return the specification of a group of running stand-ins."""
    targets = tuple(
        TargetSpec(TargetName(process.name), process.url, ZONE, slots)
        for process in processes
    )
    return GroupSpec(GroupName(name), kind, targets)


def site_configuration(
    groups: Sequence[GroupSpec], classes: Sequence[ClassSpec], account_key: str
) -> Configuration:
    """Return version 1 of a configuration with one template and one account."""
    template = Template("site", tuple(groups), tuple(classes))
    digest = hashlib.sha256(account_key.encode()).hexdigest()
    account = AccountParameters(AccountName("crew"), template.name, digest)
    return Configuration(1, {template.name: template}, {account.account: account})
