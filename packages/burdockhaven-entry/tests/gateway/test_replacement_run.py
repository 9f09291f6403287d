import dataclasses

import pytest
from gateway_fixtures import Gateway, Script, stream_events
from test_stream_forwarding import numbered_events, silent_before


@pytest.fixture
async def start():
    started = []

    async def make(**options):
        started.append(await Gateway.start(**options))
        return started[-1]

    yield make
    for gateway in started:
        await gateway.stop()


# Guards against LOST: a stream is cut although another engine has accepted it, because
# the run at that engine is charged to the retry budget a second time.
async def test_replacement_is_charged_to_the_retry_budget_once(start):
    script = Script(silent_before(3, 4, 20.0), stream_events(3, 4))
    gateway = await start(engines=[script, script])
    budget = gateway.state.retry_budget
    budget.rule = dataclasses.replace(budget.rule, ratio=0.0, slack=1.25)
    response = await gateway.call("/stream/x")
    assert (response.status, response.body) == (200, numbered_events(1, 4))
    now = gateway.state.clock()
    assert sum(window.sum(now) for window in budget.retries.values()) == 1
