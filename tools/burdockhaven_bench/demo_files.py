"""Generated files of the demonstration: settings, template and client account."""

import hashlib
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
# Short, because a draining entry waits this long for callers that still have an
# assignment.
ASSIGNMENT_LIFETIME_S = 2


@dataclass(frozen=True, slots=True)
class EntryAddresses:
    """Addresses of one entry, as host:port."""

    # Addresses for callers, operators and other entries.
    caller: str
    admin: str
    peer: str


def settings_file(
    name: str,
    zone: str,
    addresses: EntryAddresses,
    key_value_url: str,
    vm_list_url: str,
) -> str:
    """Return the settings file of one entry."""
    return f"""\
[entry]
name = {name}
zone = {zone}
caller_address = {addresses.caller}
admin_address = {addresses.admin}
peer_address = {addresses.peer}

[platform]
key_value_url = {key_value_url}
vm_list_url = {vm_list_url}

[timing]
assignment_lifetime_s = {ASSIGNMENT_LIFETIME_S}
"""


def template_file(engine_urls: list[str], service_url: str) -> bytes:
    """Return a template with a model and a plain service, as JSON."""
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
    """Return the parameters of the client account, as JSON."""
    digest = hashlib.sha256(account_key.encode()).hexdigest()
    return encode_json(AccountParameters(ACCOUNT, TEMPLATE, digest))
