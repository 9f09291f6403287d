"""Models of the two existing sites: zones, delays, targets, classes and accounts.

There are three tiers. Tier 2 is interactive work that somebody waits for (a crew on
site, a consignment at port, a sign-off, a filing, a lookup), tier 1 is ordinary daily
work, and tier 0 is backlog.
"""

import hashlib
from collections.abc import Iterator
from dataclasses import dataclass

from burdockhaven_core.configuration import (
    AccountParameters,
    ClassSpec,
    Configuration,
    GroupKind,
    GroupSpec,
    TargetSpec,
    Template,
)
from burdockhaven_core.identity import AccountName, ClassName, GroupName, TargetName
from burdockhaven_standins.engine_model import EngineConfig

TIER_COUNT = 3
ENGINE_SLOTS = 16
# Time between tokens of an engine with slowness 1.
TOKEN_INTERVAL_S = 0.02
# Tokens per streamed chunk.
CHUNK_TOKENS = 5
PREFILL_TOKENS_PER_S = 16_000.0
# Slowness factors of the engines of a group without faults.
ENGINE_SLOWNESS = (1.0, 1.0, 1.0, 1.3, 1.6, 2.5)
SERVICE_SLOTS = 4
# Time for one unit of work of a service that does not stream.
SERVICE_UNIT_S = 0.05
# Share of all requests by client account: a few accounts send most of them.
ACCOUNT_SHARES = (0.40, 0.30, 0.15, 0.10, 0.05)


@dataclass(frozen=True, slots=True)
class ClassLoad:
    """Share and sizes of the requests of one class."""

    spec: ClassSpec
    # Share of its group's work (output tokens) that the class causes.
    work_share: float
    # Mean lengths; a service that does not stream counts output in units of work.
    prompt_tokens: int
    output_tokens: int
    # Prompt tokens that requests with the same prefix share.
    shared_tokens: int = 0


@dataclass(frozen=True, slots=True)
class GroupLoad:
    """A group of targets with its engine models and request classes."""

    spec: GroupSpec
    # Engine model of each target, in the order of `spec.targets`.
    engines: tuple[EngineConfig, ...]
    classes: tuple[ClassLoad, ...]


@dataclass(frozen=True, slots=True)
class Site:
    """Topology and workload of one site."""

    name: str
    zones: tuple[str, ...]
    # One-way delay between two availability zones.
    cross_zone_delay_s: float
    # One-way delay between a client and an entry.
    client_delay_s: float
    entries: int
    groups: tuple[GroupLoad, ...]

    def classes(self) -> Iterator[tuple[GroupLoad, ClassLoad]]:
        """Yield every class with its group."""
        for group in self.groups:
            for load in group.classes:
                yield group, load

    def configuration(self) -> Configuration:
        """Build the operators' configuration of the site."""
        template = Template(
            name=self.name,
            groups=tuple(group.spec for group in self.groups),
            classes=tuple(load.spec for _, load in self.classes()),
        )
        accounts = {
            name: AccountParameters(name, self.name, key_digest(name))
            for name in account_names()
        }
        return Configuration(1, {self.name: template}, accounts)


def account_names() -> tuple[AccountName, ...]:
    """The client accounts by descending share."""
    return tuple(AccountName(f"account-{n}") for n in range(len(ACCOUNT_SHARES)))


def key_digest(account: AccountName) -> str:
    """Digest of the account's key; the bench uses the account's name as its key."""
    return hashlib.sha256(account.encode()).hexdigest()


def _targets(
    prefix: str, zones: tuple[str, ...], number: int, slots: int, port: int
) -> tuple[TargetSpec, ...]:
    return tuple(
        TargetSpec(
            name=TargetName(f"{prefix}-{n}"),
            address=f"http://127.0.0.1:{port + n}",
            zone=zones[n % len(zones)],
            slots=slots,
        )
        for n in range(number)
    )


def _model_group(
    name: str, zones: tuple[str, ...], classes: tuple[ClassLoad, ...]
) -> GroupLoad:
    engines = tuple(
        EngineConfig(
            slots=ENGINE_SLOTS,
            token_interval_s=TOKEN_INTERVAL_S * slowness,
            prefill_tokens_per_s=PREFILL_TOKENS_PER_S / slowness,
            chunk_tokens=CHUNK_TOKENS,
        )
        for slowness in ENGINE_SLOWNESS
    )
    targets = _targets(name, zones, len(engines), ENGINE_SLOTS, 9100)
    spec = GroupSpec(GroupName(name), GroupKind.MODEL, targets)
    return GroupLoad(spec, engines, classes)


def _service_group(
    name: str, zones: tuple[str, ...], number: int, classes: tuple[ClassLoad, ...]
) -> GroupLoad:
    engine = EngineConfig(slots=SERVICE_SLOTS, token_interval_s=SERVICE_UNIT_S)
    targets = _targets(name, zones, number, SERVICE_SLOTS, 9200)
    spec = GroupSpec(GroupName(name), GroupKind.SERVICE, targets)
    return GroupLoad(spec, (engine,) * number, classes)


def _class(
    name: str, group: str, tier: int, deadline_s: float, idempotent: bool = True
) -> ClassSpec:
    return ClassSpec(
        name=ClassName(name),
        group=GroupName(group),
        tier=tier,
        deadline_ms=int(deadline_s * 1000),
        idempotent=idempotent,
    )


def mu_north() -> Site:
    """Four zones with survey reviews and a service for permits and sign-offs."""
    zones = ("z1", "z2", "z3", "z4")
    survey = (
        ClassLoad(_class("status-summary", "survey", 2, 10), 0.05, 60, 12),
        ClassLoad(_class("site-review", "survey", 2, 90), 0.25, 3000, 600, 1500),
        ClassLoad(_class("review", "survey", 1, 120), 0.40, 4000, 800, 2000),
        ClassLoad(_class("log-digest", "survey", 1, 60), 0.10, 1000, 150, 500),
        ClassLoad(_class("backlog-review", "survey", 0, 240), 0.20, 4000, 800, 2000),
    )
    permits = (
        ClassLoad(_class("sign-off", "permits", 2, 5, False), 0.3, 0, 12),
        ClassLoad(_class("permit-status", "permits", 1, 5), 0.5, 0, 6),
        ClassLoad(_class("permit-export", "permits", 0, 30), 0.2, 0, 60),
    )
    groups = (
        _model_group("survey", zones, survey),
        _service_group("permits", zones, 4, permits),
    )
    return Site("mu-north", zones, 0.0005, 0.003, 8, groups)


def gj_west() -> Site:
    """Three zones with drafts of safety data sheets and a service for filings."""
    zones = ("z1", "z2", "z3")
    authoring = (
        ClassLoad(_class("phrase-revision", "authoring", 2, 10), 0.05, 120, 15),
        ClassLoad(_class("urgent-draft", "authoring", 2, 120), 0.25, 8000, 1000, 5000),
        ClassLoad(_class("draft", "authoring", 1, 180), 0.40, 9000, 1200, 6000),
        ClassLoad(_class("classification", "authoring", 1, 40), 0.10, 1500, 80, 800),
        ClassLoad(_class("batch-draft", "authoring", 0, 300), 0.20, 9000, 1200, 6000),
    )
    registers = (
        ClassLoad(_class("filing", "registers", 2, 5, False), 0.3, 0, 15),
        ClassLoad(_class("register-lookup", "registers", 1, 5), 0.5, 0, 5),
        ClassLoad(_class("register-export", "registers", 0, 30), 0.2, 0, 60),
    )
    groups = (
        _model_group("authoring", zones, authoring),
        _service_group("registers", zones, 3, registers),
    )
    return Site("gj-west", zones, 0.001, 0.003, 9, groups)


SITES = {"mu-north": mu_north, "gj-west": gj_west}
