"""Configuration changes with real processes: publishing, outages, data loss, orders."""

import asyncio
import dataclasses
import json
import random
import subprocess
import sys

import httpx
import pytest

from burdockhaven_core.configuration import OrderKind, TargetOrder
from burdockhaven_core.configuration_codec import encode_json
from burdockhaven_core.configuration_parts import INDEX_KEY
from burdockhaven_core.key_value import Delete, Transaction
from burdockhaven_ctl.exit_codes import ExitCode
from burdockhaven_entry.kv_client import KvClient
from burdockhaven_standins.samples import ACCOUNT, TARGET, TEMPLATE
from burdockhaven_standins.site import Site

pytestmark = pytest.mark.process

ROLE = TargetOrder(OrderKind.CHANGE_ROLE, "prefill")
# Seconds for which the command line retries a change and waits until it is in force.
TIMEOUT_S = "20"
# Maximum number of member queries within which an entry must list all entries.
MAX_MEMBER_QUERIES = 30


class Operator:
    """Runs the command line against the entries of a site."""

    def __init__(self, site):
        self.site = site

    def run(self, *arguments, timeout=TIMEOUT_S, entries=None):
        entries = self.site.entries if entries is None else entries
        command = [sys.executable, "-m", "burdockhaven_ctl", "--output", "json"]
        command += ["--patience", timeout, "--token-file"]
        command.append(str(self.site.directory / "operator-token"))
        command += [f"--endpoint=http://{entry.admin_address}" for entry in entries]
        done = subprocess.run(
            [*command, *arguments], capture_output=True, text=True, timeout=90
        )
        return done.returncode, json.loads(done.stdout) if done.stdout else {}

    def put(self, noun, item, *arguments, version="current", **options):
        path = self.site.directory / f"{noun}.json"
        path.write_bytes(encode_json(item))
        expected = ("--expected-version", version)
        return self.run(noun, "put", str(path), *expected, *arguments, **options)

    def wait_for_full_membership(self):
        """Wait until each entry lists all entries, none of them as silent."""
        for entry in self.site.entries:
            members = []
            for _ in range(MAX_MEMBER_QUERIES):
                members = self.run("members", entries=[entry])[1].get("members", [])
                if sum(member["state"] != "silent" for member in members) == len(
                    self.site.entries
                ):
                    break
            else:
                pytest.fail(
                    f"{entry.process.name} does not list all entries: {members}"
                )

    def control(self, **faults):
        url = f"{self.site.key_value.url}/control"
        httpx.post(url, json=faults, trust_env=False).raise_for_status()


@pytest.fixture
def site():
    with Site.start() as site:
        site.add_entry("entry-1")
        site.add_entry("entry-2")
        yield site


@pytest.fixture
def operator(site):
    operator = Operator(site)
    operator.wait_for_full_membership()
    return operator


def in_force(number):
    return f"Configuration version {number} is in force."


def wait_for_text(process, text):
    while text not in process.wait_for_line(""):
        pass


def test_change_takes_effect_on_every_entry(site, operator):
    code, output = operator.put("template", TEMPLATE, "--wait", TIMEOUT_S)
    assert (code, output["result"], output["version"]) == (0, "accepted", 1)
    assert output["in_force"] == {"version": 1, "on": 2, "of": 2}
    code, output = operator.put("account", ACCOUNT, version="0")
    assert (code, output["result"]) == (ExitCode.CONFLICT, "conflict")
    assert output["winner"]["summary"] == "put template site"
    code, output = operator.run("history")
    assert [change["version"] for change in output["changes"]] == [1]
    wrong = dataclasses.replace(ACCOUNT, weight=-1.0)
    code, output = operator.put("account", wrong, "--dry-run")
    assert (code, output["faults"][0]["path"]) == (
        ExitCode.INVALID,
        "accounts.crew.weight",
    )


def test_change_with_lost_response_is_reported_as_accepted(site, operator):
    operator.put("template", TEMPLATE, "--wait", TIMEOUT_S)
    # More than one: the lease renewals of the entries consume some of these faults.
    operator.control(lose_answers=5)
    code, output = operator.put("account", ACCOUNT, version="1")
    assert (code, output["version"]) == (0, 2)
    code, output = operator.run("history")
    assert [change["version"] for change in output["changes"]] == [1, 2]


@pytest.mark.parametrize("outage", ["refuse", "silent"])
def test_outage_refuses_changes_and_keeps_configuration_in_force(
    site, operator, outage
):
    operator.put("template", TEMPLATE, "--wait", TIMEOUT_S)
    operator.control(outage=outage)
    code, output = operator.put("account", ACCOUNT, version="1", timeout="0")
    assert (code, output["result"]) == (ExitCode.UNREACHABLE, "not_done")
    entry = site.add_entry("entry-3")
    wait_for_text(entry.process, in_force(1))
    code, output = operator.run("show", entries=[entry])
    assert output["in_force"]["version"] == 1
    operator.control(outage="none")
    code, output = operator.put("account", ACCOUNT, "--wait", TIMEOUT_S, version="1")
    assert (code, output["in_force"]["on"]) == (0, 3)


def test_newer_version_is_written_back_after_data_loss():
    with Site.start() as site:
        entry = site.add_entry("entry-1")
        operator = Operator(site)
        operator.put("template", TEMPLATE, "--wait", TIMEOUT_S)
        operator.put("account", ACCOUNT, "--wait", TIMEOUT_S)
        asyncio.run(remove_index(site.key_value.url))
        wait_for_text(entry.process, "held version 0; version 2 was written back")
        changed = dataclasses.replace(ACCOUNT, weight=2.0)
        code, output = operator.put("account", changed, version="2")
        assert (code, output["version"]) == (0, 3)


def test_engine_receives_orders_from_template():
    with Site.start() as site:
        engine = site.add_target("engine", "engine-1", "--checks-fencing")
        entry = site.add_entry("entry-1")
        target = dataclasses.replace(TARGET, address=engine.url, orders=(ROLE,))
        target = dataclasses.replace(target, checks_fencing=True)
        group = dataclasses.replace(TEMPLATE.groups[0], targets=(target,))
        template = dataclasses.replace(TEMPLATE, groups=(group,))
        Operator(site).put("template", template)
        wait_for_text(entry.process, "carried out the order change_role prefill")
        counts = httpx.get(f"{engine.url}/counts", trust_env=False).json()
        (order,) = counts["orders"]
        assert (order["order"], order["argument"]) == ("change_role", "prefill")
        assert order["fencing"] > 0


async def remove_index(url):
    kv_client = KvClient.from_url(url, random.Random(1))
    assert (await kv_client.call(Transaction((), (Delete(INDEX_KEY),)))).is_ok()
    await kv_client.close()
