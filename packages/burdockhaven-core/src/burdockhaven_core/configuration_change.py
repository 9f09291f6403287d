"""Changes that operators make to the configuration."""

import dataclasses
from dataclasses import dataclass

from result import Err, Ok, Result

from burdockhaven_core.configuration import (
    AccountParameters,
    ChangeRecord,
    Configuration,
    Template,
)
from burdockhaven_core.configuration_check import Fault, validate_configuration
from burdockhaven_core.configuration_parts import check_part_sizes
from burdockhaven_core.identity import AccountName

# Changes that a configuration carries along with it. A member that writes a version
# back to the key-value service restores the history of so many changes.
MAX_RECENT_CHANGES = 16


@dataclass(frozen=True, slots=True)
class PutTemplate:
    """Add the template, or replace the one of the same name."""

    template: Template


@dataclass(frozen=True, slots=True)
class DeleteTemplate:
    """Remove the template; no account may refer to it any more."""

    name: str


@dataclass(frozen=True, slots=True)
class PutAccount:
    """Add the account's parameters, or replace them."""

    parameters: AccountParameters


@dataclass(frozen=True, slots=True)
class DeleteAccount:
    """Remove the account's parameters; its requests are refused from then on."""

    account: AccountName


Change = PutTemplate | DeleteTemplate | PutAccount | DeleteAccount


@dataclass(frozen=True, slots=True)
class Operation:
    """An operator's wish to change one version of the configuration."""

    change: Change
    # The version that the operator has seen; the change applies to no other one.
    expected_version: int
    # Chosen by the operator's client, unique to the change and the same over retries.
    operation_id: str
    # Who asks, for the history.
    operator: str = ""
    # Wall-clock time of the entry, for the history.
    at: str = ""


def describe_change(change: Change) -> str:
    """The change in a few words, for the history."""
    match change:
        case PutTemplate(template=template):
            return f"put template {template.name}"
        case DeleteTemplate(name=name):
            return f"delete template {name}"
        case PutAccount(parameters=parameters):
            return f"put account {parameters.account}"
        case DeleteAccount(account=account):
            return f"delete account {account}"


def apply_operation(
    base: Configuration, operation: Operation
) -> Result[Configuration, tuple[Fault, ...]]:
    """The version after the base, or every fault that it would have."""
    missing = _missing_item(base, operation.change)
    if missing is not None:
        return Err((missing,))
    record = ChangeRecord(
        version=base.version + 1,
        operation_id=operation.operation_id,
        summary=describe_change(operation.change),
        operator=operation.operator,
        at=operation.at,
    )
    changed = dataclasses.replace(
        _apply_change(base, operation.change),
        version=record.version,
        recent=(*base.recent, record)[-MAX_RECENT_CHANGES:],
    )
    faults = validate_configuration(changed) + check_part_sizes(changed)
    return Err(faults) if faults else Ok(changed)


def _missing_item(base: Configuration, change: Change) -> Fault | None:
    match change:
        case DeleteTemplate(name=name) if name not in base.templates:
            allowed = "one of: " + ", ".join(sorted(base.templates))
            return Fault("templates", name, allowed, "name a template that exists")
        case DeleteAccount(account=account) if account not in base.accounts:
            allowed = "an account that has parameters"
            return Fault("accounts", account, allowed, "name an account that exists")
        case _:
            return None


def _apply_change(base: Configuration, change: Change) -> Configuration:
    templates = dict(base.templates)
    accounts = dict(base.accounts)
    match change:
        case PutTemplate(template=template):
            templates[template.name] = template
        case DeleteTemplate(name=name):
            del templates[name]
        case PutAccount(parameters=parameters):
            accounts[parameters.account] = parameters
        case DeleteAccount(account=account):
            del accounts[account]
    return dataclasses.replace(base, templates=templates, accounts=accounts)
