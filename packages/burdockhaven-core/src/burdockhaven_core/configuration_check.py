"""Validation of a configuration before a change is accepted.

One pass collects all faults, each with its path, the value found, the allowed values
and a remedy, so that an operator can correct all of them before publishing again.
"""

import ipaddress
import math
import re
from collections.abc import Iterator
from dataclasses import dataclass
from urllib.parse import urlsplit

from burdockhaven_core.configuration import (
    MAX_TIER,
    AccountParameters,
    ClassSpec,
    Configuration,
    GroupKind,
    GroupSpec,
    OrderKind,
    TargetSpec,
    Template,
)

# Names are used in keys, metrics and URL paths.
NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
KEY_DIGEST_PATTERN = re.compile(r"[0-9a-f]{64}")
MIN_DEADLINE_MS = 10
MAX_DEADLINE_MS = 24 * 3600 * 1000
MAX_SLOTS = 4096
MAX_TOKENS = 10_000_000
MIN_WEIGHT = 0.001
MAX_WEIGHT = 1000.0
MAX_ARGUMENT_CHARACTERS = 256


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault of a configuration or of another input, as reported to operators."""

    # Location of the fault, such as templates.mu-north.classes.review.tier.
    path: str
    # The value that was found.
    seen: str
    # The values that would be accepted.
    allowed: str
    # How to correct the fault.
    remedy: str


def validate_configuration(configuration: Configuration) -> tuple[Fault, ...]:
    """Return all faults of the configuration; empty if it is valid."""
    faults: list[Fault] = []
    for key, template in configuration.templates.items():
        path = f"templates.{key}"
        faults += _check_key(path, key, template.name)
        faults += _check_template(path, template)
    faults += _check_target_consistency(configuration)
    for account, parameters in configuration.accounts.items():
        path = f"accounts.{account}"
        faults += _check_key(path, account, parameters.account)
        faults += _check_account(path, parameters, configuration)
    return tuple(faults)


def _check_key(path: str, key: str, name: str) -> Iterator[Fault]:
    yield from _check_name(path, key)
    if key != name:
        yield Fault(path, name, key, "give the item the name under which it is stored")


def _check_name(path: str, name: str) -> Iterator[Fault]:
    if NAME_PATTERN.fullmatch(name) is None:
        yield Fault(
            path,
            repr(name),
            "1 to 64 letters, digits, '.', '_' or '-', starting with a letter or digit",
            "choose another name",
        )


def _check_number(
    path: str, value: float, lowest: float, highest: float
) -> Iterator[Fault]:
    if not (math.isfinite(value) and lowest <= value <= highest):
        allowed = f"{lowest:g} to {highest:g}"
        yield Fault(path, f"{value:g}", allowed, "choose a number in the range")


def _check_unique(path: str, names: list[str]) -> Iterator[Fault]:
    for name in sorted({each for each in names if names.count(each) > 1}):
        yield Fault(path, name, "each name once", "remove or rename the second one")


def _check_names_exist(
    path: str, names: list[str], known: set[str], what: str
) -> Iterator[Fault]:
    for name in names:
        if name not in known:
            allowed = f"a {what} of the template: " + ", ".join(sorted(known))
            yield Fault(path, name, allowed, f"name a {what} that the template has")


def _check_template(path: str, template: Template) -> Iterator[Fault]:
    groups = [str(group.name) for group in template.groups]
    yield from _check_unique(f"{path}.groups", groups)
    for group in template.groups:
        yield from _check_group(f"{path}.groups.{group.name}", group)
    yield from _check_unique(
        f"{path}.groups",
        [str(target.name) for group in template.groups for target in group.targets],
    )
    classes = [str(spec.name) for spec in template.classes]
    yield from _check_unique(f"{path}.classes", classes)
    for spec in template.classes:
        class_path = f"{path}.classes.{spec.name}"
        yield from _check_class(class_path, spec)
        yield from _check_names_exist(
            f"{class_path}.group", [str(spec.group)], set(groups), "group"
        )


def _check_group(path: str, group: GroupSpec) -> Iterator[Fault]:
    yield from _check_name(f"{path}.name", group.name)
    if not group.targets:
        yield Fault(f"{path}.targets", "none", "one target or more", "add a target")
    for target in group.targets:
        target_path = f"{path}.targets.{target.name}"
        yield from _check_target(target_path, target)
        yield from _check_orders(target_path, target, group.kind)


def _check_target(path: str, target: TargetSpec) -> Iterator[Fault]:
    yield from _check_name(f"{path}.name", target.name)
    yield from _check_name(f"{path}.zone", target.zone)
    yield from _check_number(f"{path}.slots", target.slots, 1, MAX_SLOTS)
    if not _is_address(target.address):
        yield Fault(
            f"{path}.address",
            target.address,
            "http:// or https://, an IP address and a port, without a path",
            "write it like http://127.0.0.1:9101",
        )


def _check_orders(path: str, target: TargetSpec, kind: GroupKind) -> Iterator[Fault]:
    if target.orders and kind is not GroupKind.MODEL:
        allowed = "orders in groups of kind model only"
        yield Fault(f"{path}.orders", "orders", allowed, "remove the orders")
    roles = [each for each in target.orders if each.kind is OrderKind.CHANGE_ROLE]
    if len(roles) > 1:
        seen = ", ".join(each.argument for each in roles)
        yield Fault(f"{path}.orders", seen, "a single role", "choose one role")
    for order in target.orders:
        if not 1 <= len(order.argument) <= MAX_ARGUMENT_CHARACTERS:
            yield Fault(
                f"{path}.orders.{order.kind.value}",
                f"{len(order.argument)} characters",
                f"1 to {MAX_ARGUMENT_CHARACTERS} characters",
                "name a model, adapter, version or role",
            )


def _is_address(address: str) -> bool:
    try:
        parts = urlsplit(address)
        has_port = parts.port is not None and parts.port > 0
    except ValueError:
        return False
    bare = not (parts.path or parts.query or parts.fragment or parts.username)
    return (
        parts.scheme in {"http", "https"}
        and bool(parts.hostname)
        and (has_port and bare and _is_ip_address(parts.hostname or ""))
    )


def _is_ip_address(host: str) -> bool:
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return True


def _check_class(path: str, spec: ClassSpec) -> Iterator[Fault]:
    yield from _check_name(f"{path}.name", spec.name)
    yield from _check_number(f"{path}.tier", spec.tier, 0, MAX_TIER)
    yield from _check_number(
        f"{path}.deadline_ms", spec.deadline_ms, MIN_DEADLINE_MS, MAX_DEADLINE_MS
    )
    yield from _check_number(
        f"{path}.max_prompt_tokens", spec.max_prompt_tokens, 0, MAX_TOKENS
    )
    yield from _check_number(
        f"{path}.max_output_tokens", spec.max_output_tokens, 1, MAX_TOKENS
    )


def _check_target_consistency(configuration: Configuration) -> Iterator[Fault]:
    """Check that a target in several templates has the same description in each."""
    first: dict[str, tuple[str, TargetSpec]] = {}
    for key, template in configuration.templates.items():
        for group in template.groups:
            for target in group.targets:
                path = f"templates.{key}.groups.{group.name}.targets.{target.name}"
                other_path, other = first.setdefault(target.name, (path, target))
                if other != target:
                    yield Fault(
                        path,
                        repr(target),
                        f"the same as {other_path}",
                        "give both targets the same description or different names",
                    )


def _check_account(
    path: str, account: AccountParameters, configuration: Configuration
) -> Iterator[Fault]:
    yield from _check_number(f"{path}.weight", account.weight, MIN_WEIGHT, MAX_WEIGHT)
    if KEY_DIGEST_PATTERN.fullmatch(account.key_sha256) is None:
        yield Fault(
            f"{path}.key_sha256",
            f"{len(account.key_sha256)} characters",
            "64 hexadecimal digits in lower case",
            "give the SHA-256 of the account's key",
        )
    for name, tier in account.tier_by_class.items():
        yield from _check_number(f"{path}.tier_by_class.{name}", tier, 0, MAX_TIER)
    for name, deadline_ms in account.deadline_ms_by_class.items():
        yield from _check_number(
            f"{path}.deadline_ms_by_class.{name}",
            deadline_ms,
            MIN_DEADLINE_MS,
            MAX_DEADLINE_MS,
        )
    template = configuration.templates.get(account.template)
    if template is None:
        yield Fault(
            f"{path}.template",
            account.template,
            "one of: " + ", ".join(sorted(configuration.templates)),
            "publish the template first or name another template",
        )
        return
    yield from _check_references(path, account, template)


def _check_references(
    path: str, account: AccountParameters, template: Template
) -> Iterator[Fault]:
    classes = {str(spec.name) for spec in template.classes}
    targets = {str(each.name) for group in template.groups for each in group.targets}
    named_classes: dict[str, list[str]] = {
        "classes": [str(name) for name in account.classes or ()],
        "tier_by_class": [str(name) for name in account.tier_by_class],
        "deadline_ms_by_class": [str(name) for name in account.deadline_ms_by_class],
        "not_idempotent": [str(name) for name in account.not_idempotent],
    }
    for field, names in named_classes.items():
        yield from _check_names_exist(f"{path}.{field}", names, classes, "class")
    reachable = [str(name) for name in account.targets or ()]
    yield from _check_names_exist(f"{path}.targets", reachable, targets, "target")
