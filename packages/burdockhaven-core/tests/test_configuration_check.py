"""Validation reports all faults of a configuration in one pass, with their paths."""

import dataclasses
import math

import pytest

from burdockhaven_core.configuration import (
    Configuration,
    GroupSpec,
    OrderKind,
    TargetOrder,
)
from burdockhaven_core.configuration_check import validate_configuration
from burdockhaven_standins.samples import (
    ACCOUNT,
    CONFIGURATION,
    REVIEW,
    TARGET,
    TEMPLATE,
)

ROLE = TargetOrder(OrderKind.CHANGE_ROLE, "prefill")
CLASS = "templates.site.classes.review"
NAMESAKE = dataclasses.replace(
    TEMPLATE.groups[0], targets=(dataclasses.replace(TARGET, name="engine-2"),)
)
TARGETS = "templates.site.groups.survey.targets.engine-1"


def with_class(**values):
    spec = dataclasses.replace(REVIEW, **values)
    return with_template(classes=(spec,))


def with_target(**values):
    target = dataclasses.replace(TARGET, **values)
    group = dataclasses.replace(TEMPLATE.groups[0], targets=(target,))
    return with_template(groups=(group,))


def with_template(**values):
    template = dataclasses.replace(TEMPLATE, **values)
    return Configuration(1, {"site": template}, {})


def with_account(**values):
    account = dataclasses.replace(ACCOUNT, **values)
    return Configuration(1, {"site": TEMPLATE}, {"crew": account})


@pytest.mark.parametrize(
    ("configuration", "path"),
    [
        (with_class(tier=10), f"{CLASS}.tier"),
        (with_class(tier=-1), f"{CLASS}.tier"),
        (with_class(deadline_ms=0), f"{CLASS}.deadline_ms"),
        (with_class(max_output_tokens=0), f"{CLASS}.max_output_tokens"),
        (with_class(group="other"), f"{CLASS}.group"),
        (with_class(name="a b"), "templates.site.classes.a b.name"),
        (with_template(classes=(REVIEW, REVIEW)), "templates.site.classes"),
        (with_template(groups=(*TEMPLATE.groups, NAMESAKE)), "templates.site.groups"),
        (with_template(name="other"), "templates.site"),
        (
            with_template(
                groups=(dataclasses.replace(TEMPLATE.groups[0], targets=()),)
            ),
            "templates.site.groups.survey.targets",
        ),
        (with_target(address="http://engine:9101"), f"{TARGETS}.address"),
        (with_target(address="http://10.0.0.1"), f"{TARGETS}.address"),
        (with_target(address="http://10.0.0.1:9/x"), f"{TARGETS}.address"),
        (with_target(address="http://10.0.0.1:99999"), f"{TARGETS}.address"),
        (with_target(slots=0), f"{TARGETS}.slots"),
        (with_target(zone=""), f"{TARGETS}.zone"),
        (with_target(orders=(ROLE, ROLE)), f"{TARGETS}.orders"),
        (
            with_target(orders=(dataclasses.replace(ROLE, argument=""),)),
            f"{TARGETS}.orders.change_role",
        ),
        (with_account(weight=math.nan), "accounts.crew.weight"),
        (with_account(weight=0.0), "accounts.crew.weight"),
        (with_account(key_sha256="secret"), "accounts.crew.key_sha256"),
        (with_account(template="none"), "accounts.crew.template"),
        (with_account(classes=("none",)), "accounts.crew.classes"),
        (with_account(targets=("none",)), "accounts.crew.targets"),
        (with_account(not_idempotent=("none",)), "accounts.crew.not_idempotent"),
        (with_account(tier_by_class={"none": 1}), "accounts.crew.tier_by_class"),
        (
            with_account(tier_by_class={"review": 12}),
            "accounts.crew.tier_by_class.review",
        ),
        (
            with_account(deadline_ms_by_class={"review": -5}),
            "accounts.crew.deadline_ms_by_class.review",
        ),
    ],
)
def test_a_fault_is_found_at_its_path(configuration, path):
    (fault,) = validate_configuration(configuration)
    assert fault.path == path
    assert fault.allowed
    assert fault.remedy


def test_a_valid_configuration_has_no_fault():
    assert validate_configuration(CONFIGURATION) == ()


def test_a_fault_does_not_reveal_a_secret():
    (fault,) = validate_configuration(with_account(key_sha256="secret"))
    assert "secret" not in fault.seen


def test_all_faults_are_reported_at_once():
    account = dataclasses.replace(ACCOUNT, weight=0.0, key_sha256="x")
    template = dataclasses.replace(
        TEMPLATE, classes=(dataclasses.replace(REVIEW, tier=11, deadline_ms=1),)
    )
    configuration = Configuration(1, {"site": template}, {"crew": account})
    assert len(validate_configuration(configuration)) == 4


def test_one_target_must_not_have_two_descriptions():
    group = GroupSpec(
        "survey",
        TEMPLATE.groups[0].kind,
        (dataclasses.replace(TARGET, zone="zone-b"),),
    )
    other = dataclasses.replace(TEMPLATE, name="other", groups=(group,))
    (fault,) = validate_configuration(
        Configuration(1, {"site": TEMPLATE, "other": other})
    )
    assert "templates.site" in fault.allowed
