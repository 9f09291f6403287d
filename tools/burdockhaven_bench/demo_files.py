"""The files of the demonstration: settings, template and client account."""

import hashlib
import socket
from dataclasses import dataclass

from burdockhaven_core.configuration import (
    AccountParameters,
    ClassSpec,
    GroupKind,
    GroupSpec,
    TargetSpec,
    Template,
)
from burdockhaven_core.configuration_codec import encode_json
from burdockhaven_core.identity import (
    AccountName,
    ClassName,
    GroupName,
    TargetName,
)

TEMPLATE = "reinstatement"
ACCOUNT = AccountName("tranchee-verte")
ZONE = "mu-north-1"
REVIEW_DEADLINE_MS = 60_000
SIGN_OFF_DEADLINE_MS = 10_000
# Short, so that a stopping entry needs to wait only so long for late callers.
ASSIGNMENT_LIFETIME_S = 2


@dataclass(frozen=True, slots=True)
class EntryPorts:
    """Ports of one entry on loopback."""

    caller_port: int
    admin_port: int
    peer_port: int

    @property
    def caller(self) -> str:
        """Where callers connect."""
        return f"127.0.0.1:{self.caller_port}"

    @property
    def admin(self) -> str:
        """Where operators connect."""
        return f"127.0.0.1:{self.admin_port}"

    @property
    def peer(self) -> str:
        """Where other members connect."""
        return f"127.0.0.1:{self.peer_port}"


def free_port() -> int:
    """A port that nothing listens on at the moment."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        port: int = probe.getsockname()[1]
        return port


def settings_file(
    name: str, zone: str, ports: EntryPorts, key_value_url: str, vm_list_url: str
) -> str:
    """The settings of one entry."""
    return f"""\
[entry]
name = {name}
zone = {zone}
caller_address = {ports.caller}
admin_address = {ports.admin}
peer_address = {ports.peer}

[platform]
key_value_url = {key_value_url}
vm_list_url = {vm_list_url}

[timing]
assignment_lifetime_s = {ASSIGNMENT_LIFETIME_S}
"""


def template_file(engine_urls: list[str], service_url: str) -> bytes:
    """A template with a model and a plain service, as JSON."""
    engines = tuple(
        TargetSpec(TargetName(f"engine-{number}"), url, ZONE)
        for number, url in enumerate(engine_urls, 1)
    )
    service = TargetSpec(TargetName("sign-off-1"), service_url, ZONE)
    survey, permits = GroupName("survey-review"), GroupName("permits")
    template = Template(
        TEMPLATE,
        (
            GroupSpec(survey, GroupKind.MODEL, engines),
            GroupSpec(permits, GroupKind.SERVICE, (service,)),
        ),
        (
            ClassSpec(ClassName("review"), survey, 1, REVIEW_DEADLINE_MS),
            ClassSpec(
                ClassName("sign-off"),
                permits,
                2,
                SIGN_OFF_DEADLINE_MS,
                idempotent=False,
            ),
        ),
    )
    return encode_json(template)


def account_file(account_key: str) -> bytes:
    """The parameters of the client account, as JSON."""
    digest = hashlib.sha256(account_key.encode()).hexdigest()
    return encode_json(AccountParameters(ACCOUNT, TEMPLATE, digest))
