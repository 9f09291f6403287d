"""Test fixtures: a small configuration and an entry that is ready for requests."""

import random

from burdockhaven_core.actions import AnswerLookUp
from burdockhaven_core.configuration import (
    AccountParameters,
    ClassSpec,
    Configuration,
    GroupKind,
    GroupSpec,
    TargetSpec,
    Template,
)
from burdockhaven_core.entry import Entry
from burdockhaven_core.entry_state import EntryParameters
from burdockhaven_core.events import (
    ConfigurationRead,
    LookUpArrived,
    MemberLeasesRead,
    RequestArrived,
    VmListRead,
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

ACCOUNT = AccountName("north")
OTHER_ACCOUNT = AccountName("south")
REVIEW = ClassName("review")
LOOKUP = ClassName("lookup")
SIGN_OFF = ClassName("sign_off")
SECRET = b"a secret of the tests"
# Seconds after the start at which test entries are ready and admit all tiers.
READY_S = 10.0

ENGINES = GroupName("model")
SERVICES = GroupName("signing")


def configuration(version: int = 1, slots: int = 2) -> Configuration:
    template = Template(
        name="standard",
        groups=(
            GroupSpec(
                ENGINES,
                GroupKind.MODEL,
                tuple(
                    TargetSpec(TargetName(f"e{n}"), f"http://10.0.0.{n}:1", "z1", slots)
                    for n in (1, 2)
                ),
            ),
            GroupSpec(
                SERVICES,
                GroupKind.SERVICE,
                (TargetSpec(TargetName("s1"), "http://10.0.0.9:1", "z1", slots),),
            ),
        ),
        classes=(
            ClassSpec(REVIEW, ENGINES, 0, 60_000),
            ClassSpec(LOOKUP, ENGINES, 1, 20_000),
            ClassSpec(SIGN_OFF, SERVICES, 1, 5_000, idempotent=False),
        ),
    )
    accounts = {
        name: AccountParameters(name, "standard", key_sha256=f"digest of {name}")
        for name in (ACCOUNT, OTHER_ACCOUNT)
    }
    return Configuration(version, {"standard": template}, accounts)


def entry(name: str = "one", incarnation: str = "1", **parameters: object) -> Entry:
    """Create a sole entry, started at time 0 and ready at `READY_S`."""
    member_id = MemberId(EntryName(name), Incarnation(incarnation))
    started = Entry.from_config(
        EntryParameters(
            member_id=member_id,
            zone="z1",
            caller_address=f"{name}:80",
            peer_address=f"{name}:81",
            assignment_key=SECRET,
            **parameters,
        ),
        random.Random(7),
        now=0.0,
    )
    started.step(ConfigurationRead(configuration()), READY_S)
    started.step(VmListRead(frozenset({f"{name}:81"}), frozenset()), READY_S)
    leases = {member_id: f"{name}:81"}
    started.step(MemberLeasesRead(leases, own_lease_until_s=1e9), READY_S)
    return started


def token(issuer: Entry, now: float, account: AccountName = ACCOUNT) -> str:
    """Return an assignment token issued by the entry."""
    actions = issuer.step(LookUpArrived(1, account), now)
    answer = next(a for a in actions if isinstance(a, AnswerLookUp))
    return answer.token


def request(handle: int, token: str, key: str = "k", **changes: object):
    """Create a request event, of class REVIEW by default."""
    fields = {
        "handle": handle,
        "token": token,
        "key": key,
        "account": ACCOUNT,
        "class_name": REVIEW,
        "prompt_tokens": 100,
        "max_output_tokens": 50,
    }
    return RequestArrived(**(fields | changes))
