"""The operators' configuration: templates and client account parameters.

These are the data only. Checks are made by `validate_configuration`, so that a change
can be tried before it is published.
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

# Tiers are numbered from 0, the lowest, to at most this number.
MAX_TIER = 9


class GroupKind(enum.Enum):
    """What the targets of a group are."""

    # Engines that stream tokens and cache prompt prefixes.
    MODEL = "model"
    # Plain services that give one answer to a call.
    SERVICE = "service"


class OrderKind(enum.Enum):
    """What an engine can be ordered to do."""

    # These three read from the weight store.
    LOAD_MODEL = "load_model"
    LOAD_ADAPTER = "load_adapter"
    LOAD_VERSION = "load_version"
    CHANGE_ROLE = "change_role"


@dataclass(frozen=True, slots=True)
class TargetOrder:
    """One thing that an engine is to have loaded, or to be."""

    kind: OrderKind
    # The model, adapter, version or role.
    argument: str


@dataclass(frozen=True, slots=True)
class TargetSpec:
    """One engine or plain service."""

    # Unique over the whole configuration.
    name: TargetName
    # Base URL with an IP number, such as http://127.0.0.1:9101.
    address: str
    # The availability zone that the target runs in.
    zone: str
    # The number of requests that the target serves side by side without slowing down.
    slots: int = 8
    # Whether the target refuses an order with an old fencing number.
    checks_fencing: bool = False
    # What the target is to have loaded and to be, in the order of giving.
    orders: tuple[TargetOrder, ...] = ()


@dataclass(frozen=True, slots=True)
class GroupSpec:
    """Targets that can serve each other's requests: one model or one application."""

    name: GroupName
    kind: GroupKind
    targets: tuple[TargetSpec, ...]


@dataclass(frozen=True, slots=True)
class ClassSpec:
    """A class of requests and how it is to be served."""

    name: ClassName
    # The group whose targets serve the class.
    group: GroupName
    # 0 is the lowest tier.
    tier: int
    # Milliseconds from arrival to the whole answer.
    deadline_ms: int
    # Whether running a request twice has the effect of running it once. Requests of
    # other classes are sent on a fresh connection.
    idempotent: bool = True
    # The largest prompt, in tokens.
    max_prompt_tokens: int = 65_536
    # The longest answer, in tokens.
    max_output_tokens: int = 8_192


@dataclass(frozen=True, slots=True)
class Template:
    """A scheduling template that client accounts refer to."""

    name: str
    groups: tuple[GroupSpec, ...]
    classes: tuple[ClassSpec, ...]


@dataclass(frozen=True, slots=True)
class AccountParameters:
    """What the operators fill in for one client account."""

    account: AccountName
    # The template that the account uses.
    template: str
    # SHA-256 of the account's key in hexadecimal; the key itself is not kept.
    key_sha256: str
    # The account's share against the others of its tier.
    weight: float = 1.0
    # The classes that the account may use; None means all of the template.
    classes: tuple[ClassName, ...] | None = None
    # The targets that the account may reach; None means all of the template.
    targets: tuple[TargetName, ...] | None = None
    # Tiers that differ from the template's, by class.
    tier_by_class: dict[ClassName, int] = field(default_factory=dict)
    # Deadlines in milliseconds that differ from the template's, by class.
    deadline_ms_by_class: dict[ClassName, int] = field(default_factory=dict)
    # Classes that must not be repeated for this account, beside the template's.
    not_idempotent: tuple[ClassName, ...] = ()


@dataclass(frozen=True, slots=True)
class ChangeRecord:
    """One accepted change, as it stands in the history."""

    # The version that the change made.
    version: int
    # Chosen by the operator's client; names the change over retries.
    operation_id: str
    # What was changed, such as "put template mu-north".
    summary: str
    # Who asked for the change, as the client said.
    operator: str = ""
    # Wall-clock time of the entry that took the change, for people only.
    at: str = ""


@dataclass(frozen=True, slots=True)
class Configuration:
    """Everything the operators have published, at one version."""

    # Grows by one with each accepted change; 0 is the empty configuration.
    version: int = 0
    templates: dict[str, Template] = field(default_factory=dict)
    accounts: dict[AccountName, AccountParameters] = field(default_factory=dict)
    # The last changes, the newest last.
    recent: tuple[ChangeRecord, ...] = ()

    @property
    def sort_key(self) -> tuple[int, str]:
        """Sorts configurations by age: version, then the last change's identity.

        Two configurations of one version differ only if the key-value service lost
        an accepted version; the identity then makes all members choose alike.
        """
        return (self.version, self.recent[-1].operation_id if self.recent else "")

    def class_for(
        self, account: AccountParameters, class_name: ClassName
    ) -> ClassSpec | None:
        """The class as it applies to the account; None if it may not use it."""
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
        """The group of the account's template, with all of its targets."""
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
