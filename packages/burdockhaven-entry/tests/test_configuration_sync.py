"""Configuration sync with an in-memory key-value service."""

import asyncio
import dataclasses

import pytest

from burdockhaven_core.configuration import Configuration
from burdockhaven_core.configuration_change import Operation, PutTemplate
from burdockhaven_core.configuration_parts import INDEX_KEY
from burdockhaven_core.configuration_replica import ConfigurationReplica
from burdockhaven_core.configuration_store import NotSynchronised, WrittenBack
from burdockhaven_core.identity import MemberId
from burdockhaven_core.key_value import Put, Transaction
from burdockhaven_core.publishing import Accepted, NotDone
from burdockhaven_entry.configuration_sync import ConfigurationSync
from burdockhaven_standins.key_value_memory import MemoryKeyValue
from burdockhaven_standins.memory_kv_client import MemoryKvClient
from burdockhaven_standins.samples import TEMPLATE


class SignallingClient(MemoryKvClient):
    """Sets an event each time a decision has completed."""

    def __init__(self, service, attempted):
        super().__init__(service)
        self.attempted = attempted

    async def run(self, steps):
        result = await super().run(steps)
        self.attempted.set()
        return result


class Member:
    def __init__(self, service):
        self.attempted = asyncio.Event()
        self.replica = ConfigurationReplica(MemberId("e1", "a"))
        self.applied = asyncio.Event()
        self.sync = ConfigurationSync(
            SignallingClient(service, self.attempted),
            lambda: self.replica.configuration,
            lambda: self.replica.version,
            self.apply,
        )

    def apply(self, event):
        self.replica.apply_if_newer(event.configuration)
        self.applied.set()

    async def publish(self, name):
        template = dataclasses.replace(TEMPLATE, name=name)
        version = self.replica.version
        return await self.sync.publish(Operation(PutTemplate(template), version, name))


@pytest.fixture
def service():
    return MemoryKeyValue()


async def test_a_member_reads_what_another_published(service):
    one, other = Member(service), Member(service)
    assert isinstance(await one.publish("first"), Accepted)
    await other.sync.synchronise()
    assert other.replica.configuration == one.replica.configuration


async def test_an_empty_service_makes_a_member_ready(service):
    member = Member(service)
    await member.sync.synchronise()
    assert member.replica.ready


async def test_synchronisation_resumes_after_an_outage(service):
    one, other = Member(service), Member(service)
    await one.publish("first")
    service.down = True
    following = asyncio.create_task(other.sync.run())
    await other.attempted.wait()
    assert not other.replica.ready
    service.down = False
    await other.applied.wait()
    assert other.replica.version == 1
    following.cancel()


async def test_during_an_outage_nothing_changes(service):
    member = Member(service)
    await member.publish("first")
    service.down = True
    assert isinstance(await member.publish("second"), NotDone)
    assert isinstance(await member.sync.synchronise(), NotSynchronised)
    assert member.replica.version == 1


async def test_the_version_in_force_is_written_back_to_an_older_service(service):
    member = Member(service)
    await member.publish("first")
    older = service.snapshot()
    await member.publish("second")
    service.restore(older)
    assert await member.sync.synchronise() == WrittenBack(1)
    fresh = Member(service)
    await fresh.sync.synchronise()
    assert set(fresh.replica.configuration.templates) == {"first", "second"}


async def test_an_unreadable_index_leaves_the_version_in_force(service):
    member = Member(service)
    await member.publish("first")
    service.call(Transaction((), (Put(INDEX_KEY, b"what?"),)))
    assert isinstance(await member.sync.synchronise(), NotSynchronised)
    assert member.replica.version == 1
    assert member.replica.configuration != Configuration()
