"""Second filter: checks that the client account may use the request class."""

from dataclasses import dataclass

from result import Err, Ok, Result

from burdockhaven_core.configuration import (
    AccountParameters,
    ClassSpec,
    Configuration,
    GroupSpec,
)
from burdockhaven_core.identity import AccountName, ClassName
from burdockhaven_core.outcome import NotRun, NotRunReason


@dataclass(frozen=True, slots=True)
class Authorised:
    """Configuration that applies to a request."""

    account: AccountParameters
    spec: ClassSpec
    group: GroupSpec


def authorise(
    configuration: Configuration, account: AccountName, class_name: ClassName
) -> Result[Authorised, NotRun]:
    """Look up the account, class and group of a request, or refuse it."""
    parameters = configuration.accounts.get(account)
    if parameters is None:
        detail = f"no client account {account!r} is in force"
        return Err(NotRun(NotRunReason.UNKNOWN_ACCOUNT, detail))
    spec = configuration.class_for(parameters, class_name)
    if spec is None:
        detail = f"client account {account!r} has no class {class_name!r}"
        return Err(NotRun(NotRunReason.UNKNOWN_CLASS, detail))
    group = configuration.group_for(parameters, spec.group)
    if group is None:
        detail = f"class {class_name!r} has no group {spec.group!r}"
        return Err(NotRun(NotRunReason.NO_TARGET, detail))
    return Ok(Authorised(parameters, spec, group))
