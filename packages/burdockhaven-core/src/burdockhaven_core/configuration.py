"""Data model of the operators' configuration: templates and client accounts.

The data classes do not validate themselves. `validate_configuration` does, so that a
change can be checked before it is published.
"""

import dataclasses
import enum
from dataclasses import dataclass, field

from burdockhaven_core.identity import (
    AccountName,
    ClassName,
    GroupName,
    TargetName,
)

# Tiers are numbered from 0, the lowest, to this number.
MAX_TIER = 9


class GroupKind(enum.Enum):
    """Kind of the targets of a group."""

    # Inference engines that stream tokens and cache prompt prefixes.
    MODEL = "model"
    # Plain services that return a single answer to a call.
    SERVICE = "service"


class OrderKind(enum.Enum):
    """Kind of a command that an engine can receive."""

    # The load orders read from the weight store.
    LOAD_MODEL = "load_model"
    LOAD_ADAPTER = "load_adapter"
    LOAD_VERSION = "load_version"
    CHANGE_ROLE = "change_role"


@dataclass(frozen=True, slots=True)
class TargetOrder:
    """Desired state of an engine: something that it has loaded, or its role."""

    kind: OrderKind
    # Name of the model, adapter, version or role.
    argument: str


@dataclass(frozen=True, slots=True)
class TargetSpec:
    """One engine or plain service."""

    # Unique within the configuration.
    name: TargetName
    # Base URL with an IP address, such as http://127.0.0.1:9101.
    address: str
    # The availability zone that the target runs in.
    zone: str
    # Number of requests that the target serves concurrently without slowing down.
    slots: int = 8
    # Whether the target rejects an order with an outdated fencing token.
    checks_fencing: bool = False
    # Desired state of the target, in the sequence in which the orders are sent.
    orders: tuple[TargetOrder, ...] = ()


@dataclass(frozen=True, slots=True)
class GroupSpec:
    """Interchangeable targets that serve the same model or application."""

    name: GroupName
    kind: GroupKind
    targets: tuple[TargetSpec, ...]


@dataclass(frozen=True, slots=True)
class ClassSpec:
    """A class of requests with its tier, deadline and limits."""

    name: ClassName
    # The group whose targets serve the class.
    group: GroupName
    # 0 is the lowest tier.
    tier: int
    # Milliseconds from arrival of the request to its complete answer.
    deadline_ms: int
    # Whether running a request twice has the same effect as running it once. Requests
    # of other classes are sent on a fresh connection.
    idempotent: bool = True
    max_prompt_tokens: int = 65_536
    max_output_tokens: int = 8_192


@dataclass(frozen=True, slots=True)
class Template:
    """A scheduling template that client accounts refer to."""

    name: str
    groups: tuple[GroupSpec, ...]
    classes: tuple[ClassSpec, ...]


@dataclass(frozen=True, slots=True)
class AccountParameters:
    """Parameters that the operators set for one client account."""

    account: AccountName
    # Name of the template that the account uses.
    template: str
    # SHA-256 of the account's key in hexadecimal; the key itself is not stored.
    key_sha256: str
    # Weight of the account relative to the others of its tier.
    weight: float = 1.0
    # Classes that the account may use; None means all classes of the template.
    classes: tuple[ClassName, ...] | None = None
    # Targets that the account may use; None means all targets of the template.
    targets: tuple[TargetName, ...] | None = None
    # Overrides of the template's tiers, by class.
    tier_by_class: dict[ClassName, int] = field(default_factory=dict)
    # Overrides of the template's deadlines in milliseconds, by class.
    deadline_ms_by_class: dict[ClassName, int] = field(default_factory=dict)
    # Classes that are not idempotent for this account, in addition to the template's.
    not_idempotent: tuple[ClassName, ...] = ()


@dataclass(frozen=True, slots=True)
class ChangeRecord:
    """Record of one accepted change in the history."""

    # The version that the change created.
    version: int
    # Chosen by the operator's client; identifies the change across retries.
    operation_id: str
    # Short description, such as "put template mu-north".
    summary: str
    # Name of the operator as given by the client; not verified.
    operator: str = ""
    # Wall-clock time of the entry that received the change; informational only.
    at: str = ""


@dataclass(frozen=True, slots=True)
class Configuration:
    """One version of everything that the operators have published."""

    # Increases by one with each accepted change; 0 is the empty configuration.
    version: int = 0
    templates: dict[str, Template] = field(default_factory=dict)
    accounts: dict[AccountName, AccountParameters] = field(default_factory=dict)
    # The most recent changes, the newest last.
    recent: tuple[ChangeRecord, ...] = ()

    @property
    def sort_key(self) -> tuple[int, str]:
        """Key that sorts configurations by age: version, then last operation id.

        Two configurations of the same version differ only if the key-value service has
        lost an accepted version. All members then choose the same one of the two by the
        operation id.
        """
        return (self.version, self.recent[-1].operation_id if self.recent else "")

    def class_for(
        self, account: AccountParameters, class_name: ClassName
    ) -> ClassSpec | None:
        """Return the class with the account's overrides.

        Returns None if the account may not use the class or the class does not exist.
        """
        if account.classes is not None and class_name not in account.classes:
            return None
        template = self.templates.get(account.template)
        if template is None:
            return None
        for spec in template.classes:
            if spec.name == class_name:
                return _with_overrides(spec, account)
        return None

    def group_for(
        self, account: AccountParameters, group_name: GroupName
    ) -> GroupSpec | None:
        """Return the group of the account's template, with all of its targets."""
        template = self.templates.get(account.template)
        if template is None:
            return None
        for group in template.groups:
            if group.name == group_name:
                return group
        return None


def _with_overrides(spec: ClassSpec, account: AccountParameters) -> ClassSpec:
    return dataclasses.replace(
        spec,
        tier=account.tier_by_class.get(spec.name, spec.tier),
        deadline_ms=account.deadline_ms_by_class.get(spec.name, spec.deadline_ms),
        idempotent=spec.idempotent and spec.name not in account.not_idempotent,
    )
