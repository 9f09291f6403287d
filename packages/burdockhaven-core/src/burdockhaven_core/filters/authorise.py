"""Second filter: may the client account send this class of request?"""

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
    """A request with what the configuration says about it."""

    account: AccountParameters
    spec: ClassSpec
    group: GroupSpec


def authorise(
    configuration: Configuration, account: AccountName, class_name: ClassName
) -> Result[Authorised, NotRun]:
    """The class and group of the request, or why it may not be sent."""
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
