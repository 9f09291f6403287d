"""Deterministic, valid inputs of a given size for the capacity probes."""

import hashlib

from burdockhaven_core.configuration import (
    AccountParameters,
    ClassSpec,
    Configuration,
    GroupKind,
    GroupSpec,
    TargetSpec,
    Template,
)
from burdockhaven_core.identity import (
    AccountName,
    ClassName,
    EntryName,
    GroupName,
    Incarnation,
    MemberId,
    TargetName,
)

MODELS = 4
TIERS = 5
ZONES = 3
# Long enough that no request of the bench is refused for its predicted wait.
DEADLINE_MS = 3_600_000
FIRST_TARGET_PORT = 10_000


def make_configuration(accounts: int, targets: int, version: int = 1) -> Configuration:
    """Create a configuration whose targets are spread evenly over the models."""
    template = Template("site", _groups(targets), _classes())
    parameters = [_account(number) for number in range(accounts)]
    return Configuration(
        version=version,
        templates={template.name: template},
        accounts={each.account: each for each in parameters},
    )


def make_member_id(number: int) -> MemberId:
    """Create the identity of a member."""
    digest = hashlib.blake2b(f"incarnation-{number}".encode(), digest_size=16)
    return MemberId(EntryName(f"entry-{number:03}"), Incarnation(digest.hexdigest()))


def make_peer_address(number: int) -> str:
    """Create the address at which other members reach a member."""
    return f"10.1.{number // 250}.{number % 250 + 1}:8300"


def account_name(number: int) -> AccountName:
    """Return the name of a client account."""
    return AccountName(f"account-{number:04}")


def class_name(tier: int) -> ClassName:
    """Return the name of a tier's class; each tier has exactly one."""
    return ClassName(f"class-{tier}")


def group_name(model: int) -> GroupName:
    """Return the name of a model's group."""
    return GroupName(f"model-{model}")


def _groups(targets: int) -> tuple[GroupSpec, ...]:
    return tuple(
        GroupSpec(
            group_name(model),
            GroupKind.MODEL,
            tuple(_target(number) for number in range(model, targets, MODELS)),
        )
        for model in range(MODELS)
    )


def _target(number: int) -> TargetSpec:
    return TargetSpec(
        TargetName(f"engine-{number:04}"),
        f"http://10.2.{number // 250}.{number % 250 + 1}:{FIRST_TARGET_PORT}",
        f"zone-{number % ZONES}",
    )


def _classes() -> tuple[ClassSpec, ...]:
    return tuple(
        ClassSpec(class_name(tier), group_name(tier % MODELS), tier, DEADLINE_MS)
        for tier in range(TIERS)
    )


def _account(number: int) -> AccountParameters:
    name = account_name(number)
    return AccountParameters(
        account=name,
        template="site",
        key_sha256=hashlib.sha256(name.encode()).hexdigest(),
        weight=1.0 + number % 3,
        deadline_ms_by_class={class_name(number % TIERS): DEADLINE_MS // 2},
    )
