"""A small valid configuration for tests and demos."""

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
    GroupName,
    TargetName,
)

TARGET = TargetSpec(TargetName("engine-1"), "http://127.0.0.1:9101", "zone-a")
SURVEY = GroupName("survey")
REVIEW = ClassSpec(ClassName("review"), SURVEY, tier=2, deadline_ms=60_000)
TEMPLATE = Template("site", (GroupSpec(SURVEY, GroupKind.MODEL, (TARGET,)),), (REVIEW,))
ACCOUNT = AccountParameters(AccountName("crew"), "site", key_sha256="0" * 64)
CONFIGURATION = Configuration(1, {"site": TEMPLATE}, {ACCOUNT.account: ACCOUNT})
