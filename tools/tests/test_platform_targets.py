"""The stand-in targets send no header that the platform's adapter does not know."""

import pytest
from aiohttp.test_utils import TestClient, TestServer

from burdockhaven_entry.platform import read_response_head
from burdockhaven_standins.platform_targets import (
    ATTEMPT,
    EXPECT_INSTANCE,
    TOKEN_COUNTS,
    PlatformEngine,
    PlatformService,
    TargetFaults,
    TargetRecord,
)
from burdockhaven_standins.step_engine import StepEngineConfig

REQUEST = {ATTEMPT: "a1", TOKEN_COUNTS: "10,4"}


def make_target(kind, faults):
    record = TargetRecord("i-1", "s", 4, faults=faults)
    if kind == "engine":
        return PlatformEngine(record, StepEngineConfig())
    return PlatformService(record, 0.0)


# Guards against a signal that the stand-ins send and the adapter does not read.
@pytest.mark.parametrize("kind", ["engine", "service"])
@pytest.mark.parametrize(
    "faults",
    [
        TargetFaults(),
        TargetFaults(draining=True),
        TargetFaults(leaving=True),
        TargetFaults(leaving=True, pause_s=2.0),
    ],
)
@pytest.mark.parametrize("headers", [REQUEST, REQUEST | {EXPECT_INSTANCE: "i-2"}, {}])
async def test_adapter_knows_every_header_of_a_stand_in(kind, faults, headers):
    application = make_target(kind, faults).application()
    async with TestClient(TestServer(application)) as client:
        for path in ("/x", "/healthz"):
            async with client.get(path, headers=headers) as response:
                head = read_response_head(response.status, response.headers)
                await response.read()
            assert head.unknown_headers == ()
            says_leaving = faults.draining or faults.leaving
            assert head.observation.is_leaving is says_leaving
