"""A small site of real processes on loopback: platform, targets and entries."""

import asyncio
import hashlib
import random
import secrets
import socket
import tempfile
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path

import httpx

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
from burdockhaven_entry.kv_link import KvLink
from burdockhaven_standins.processes import ProcessGroup, RunningProcess
from burdockhaven_standins.vm_list import Vm

HOST = "127.0.0.1"
ZONE = "zone-a"
SECRET_BYTES = 32

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
heartbeat_interval_ms = 200
assignment_lifetime_s = {assignment_lifetime_s}
"""
# Long enough for a caller to use it, and short for the drain that lasts as long.
ASSIGNMENT_LIFETIME_S = 3


class NotPublishedError(Exception):
    """The key-value service did not take the configuration."""


@dataclass(frozen=True, slots=True)
class SiteEntry:
    """One running entry."""

    process: RunningProcess
    # Host and port of each of its sockets.
    caller: str
    admin: str
    peer: str


@dataclass(slots=True)
class Site:
    """The processes of one site, stopped when the `with` block ends."""

    directory: Path
    # The operators' token.
    token: str
    group: ProcessGroup
    key_value: RunningProcess
    vm_list: RunningProcess
    # Seconds that an entry takes at least to drain.
    assignment_lifetime_s: int
    vms: list[Vm] = field(default_factory=list)
    # Engines and plain services by name.
    targets: dict[str, RunningProcess] = field(default_factory=dict)
    entries: list[SiteEntry] = field(default_factory=list)

    @classmethod
    def start(cls, assignment_lifetime_s: int = ASSIGNMENT_LIFETIME_S) -> "Site":
        """A site with its platform and nothing else."""
        directory = Path(tempfile.mkdtemp(prefix="burdockhaven-"))
        token = secrets.token_hex(SECRET_BYTES)
        (directory / "operator-token").write_text(token)
        (directory / "assignment-key").write_text(secrets.token_hex(SECRET_BYTES))
        group = ProcessGroup()
        key_value = group.stand_in("kv", "kv")
        vm_list = group.stand_in("vms", "vms")
        return cls(directory, token, group, key_value, vm_list, assignment_lifetime_s)

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
        """Starts an engine or a plain service and lists its VM."""
        target = self.group.stand_in(kind, name, *options)
        self.targets[name] = target
        self.vms.append(Vm(target.ready, ZONE))
        self.show_vms()
        return target

    def add_entry(self, name: str) -> SiteEntry:
        """Starts an entry and lists its VM."""
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
            assignment_lifetime_s=self.assignment_lifetime_s,
        )
        path = self.directory / f"{name}.ini"
        path.write_text(settings)
        self.vms.append(Vm(peer, ZONE))
        self.show_vms()
        process = self.group.start(name, ["burdockhaven_entry", "--config", str(path)])
        entry = SiteEntry(process, caller, admin, peer)
        self.entries.append(entry)
        return entry

    def show_vms(self) -> None:
        """Makes the VM list show the site's VMs."""
        vms = [{"address": vm.address, "zone": vm.zone} for vm in self.vms]
        url = f"{self.vm_list.url}/control"
        httpx.post(url, json={"vms": vms}, trust_env=False).raise_for_status()

    def publish(self, configuration: Configuration) -> None:
        """Puts the configuration into the key-value service as accepted."""
        asyncio.run(self._publish(configuration))

    async def _publish(self, configuration: Configuration) -> None:
        link = KvLink.from_url(self.key_value.url, random.Random(0))
        try:
            outcome = await link.run(synchronise(configuration))
        finally:
            await link.close()
        if not isinstance(outcome, WrittenBack):
            raise NotPublishedError(repr(outcome))


def free_addresses(count: int) -> list[str]:
    """Addresses on loopback that nothing listens on."""
    sockets = [socket.create_server((HOST, 0)) for _ in range(count)]
    addresses = [f"{HOST}:{each.getsockname()[1]}" for each in sockets]
    for each in sockets:
        each.close()
    return addresses


def group_spec(
    name: str, kind: GroupKind, processes: Sequence[RunningProcess], slots: int = 8
) -> GroupSpec:
    """A group of running stand-ins."""
    targets = tuple(
        TargetSpec(TargetName(process.name), process.url, ZONE, slots)
        for process in processes
    )
    return GroupSpec(GroupName(name), kind, targets)


def site_configuration(
    groups: Sequence[GroupSpec], classes: Sequence[ClassSpec], account_key: str
) -> Configuration:
    """The first version of a configuration with one template and one account."""
    template = Template("site", tuple(groups), tuple(classes))
    digest = hashlib.sha256(account_key.encode()).hexdigest()
    account = AccountParameters(AccountName("crew"), template.name, digest)
    return Configuration(1, {template.name: template}, {account.account: account})
