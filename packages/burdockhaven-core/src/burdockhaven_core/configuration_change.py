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

# Number of recent changes that a configuration includes. A member that writes a version
# back to the key-value service restores the history of these changes.
MAX_RECENT_CHANGES = 16


@dataclass(frozen=True, slots=True)
class PutTemplate:
    """Add a template, or replace the template of the same name."""

    template: Template


@dataclass(frozen=True, slots=True)
class DeleteTemplate:
    """Remove a template that no account refers to."""

    name: str


@dataclass(frozen=True, slots=True)
class PutAccount:
    """Add or replace the parameters of an account."""

    parameters: AccountParameters


@dataclass(frozen=True, slots=True)
class DeleteAccount:
    """Remove the parameters of an account, whose requests are then refused."""

    account: AccountName


Change = PutTemplate | DeleteTemplate | PutAccount | DeleteAccount


@dataclass(frozen=True, slots=True)
class Operation:
    """An operator's request to change one version of the configuration."""

    change: Change
    # The version that the operator has seen; the change applies only to this version.
    expected_version: int
    # Chosen by the operator's client; unique to the change and the same in all retries.
    operation_id: str
    # Name of the operator, for the history.
    operator: str = ""
    # Wall-clock time of the entry, for the history.
    at: str = ""


def describe_change(change: Change) -> str:
    """Return a short summary of the change for the history."""
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
    """Return the version that follows the base, or all faults that it would have."""
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
