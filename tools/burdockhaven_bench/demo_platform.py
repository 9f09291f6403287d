"""`scripts/demo --platform`: the daemons as they run on the users' platform.

Three daemons run as processes before a stand-in of the platform: its store, two engines
and a plain service. A client looks addresses up, streams an answer and sends a plain
request; an engine breaks a stream off; the operator replaces the key; one daemon is
stopped, another is killed. The exit code is 0 only if all of it went as it should.
"""

import asyncio
import sys
import tempfile
from pathlib import Path

from burdockhaven_bench.platform_harness import (
    Daemon,
    PlatformHarness,
    ReceivedResponse,
)
from burdockhaven_standins.platform_targets import TargetFaults

NODES = ("entry-1", "entry-2", "entry-3")
# Events of a stream: 20 tokens, six in an event.
EVENTS = 4


class DemoFailedError(Exception):
    """Something did not go as it should; carries what."""


def main() -> int:
    """Run the demonstration; gives the exit code."""
    try:
        asyncio.run(_run())
    except (DemoFailedError, TimeoutError) as error:
        print(f"FAILED: {error!r}", file=sys.stderr)
        return 1
    except KeyboardInterrupt:
        print("interrupted; everything is stopped", file=sys.stderr)
        return 130
    print("done: every process is stopped")
    return 0


async def _run() -> None:
    with tempfile.TemporaryDirectory() as folder:
        harness = await PlatformHarness.start(Path(folder))
        try:
            await _run_steps(harness)
        finally:
            await harness.stop()


async def _run_steps(harness: PlatformHarness) -> None:
    print(f"1. the platform: store at {harness.site.store_address}, targets")
    for target, address in harness.site.addresses.items():
        print(f"   {target} at {address}")
    print("2. three daemons; each look-up names all of them")
    daemons = [await harness.start_daemon(node) for node in NODES]
    await harness.wait_until_look_ups_name({d.front for d in daemons}, *NODES)
    for daemon in daemons:
        print(f"   {daemon.node} takes requests at {daemon.front}")
    first, second, third = daemons
    print("3. one stream and one plain request at each")
    for daemon in daemons:
        await _check_both_routes(harness, daemon, "k1")
    print("4. an engine breaks a stream off: it goes on at the other")
    faults = TargetFaults(abort_next_after_events=2)
    for engine in harness.site.engines:
        engine.record.faults = faults
    broken = await harness.send_request(first.front, "/stream/x")
    _check_stream(broken)
    _check(faults.abort_next_after_events is None, "no stream broke off")
    print(
        f"   {broken.request}: {EVENTS} events, "
        f"{harness.site.runs_of(broken.request)} runs"
    )
    print("5. the operator replaces the key")
    harness.site.publish(2, ["k2"])
    await harness.wait_until(lambda: _is_key_accepted(harness, daemons, "k2"))
    old = await harness.send_request(first.front, "/plain/x", "k1")
    _check(old.status == 401, f"the old key is answered {old.status}")
    print("6. one daemon is stopped, one killed; the third serves on")
    code = await harness.stop_daemon(first.node)
    _check(code == 0, f"{first.node} ended with {code}")
    second.process.kill()
    await harness.wait_until_look_ups_name({third.front}, third.node)
    await _check_both_routes(harness, third, "k2")


async def _check_both_routes(
    harness: PlatformHarness, daemon: Daemon, key: str
) -> None:
    _check_stream(await harness.send_request(daemon.front, "/stream/x", key))
    plain = await harness.send_request(daemon.front, "/plain/x", key)
    _check((plain.status, plain.body) == (200, b"done"), f"plain: {plain}")
    runs = harness.site.runs_of(plain.request)
    _check(runs == 1, f"the plain request ran {runs} times")
    print(f"   {daemon.node}: {EVENTS} events, and one run of {plain.request}")


def _check_stream(answer: ReceivedResponse) -> None:
    ids = [line for line in answer.body.split(b"\n") if line.startswith(b"id: ")]
    expected = [b"id: %d" % number for number in range(1, EVENTS + 1)]
    _check(answer.status == 200 and ids == expected, f"stream: {answer}")


async def _is_key_accepted(
    harness: PlatformHarness, daemons: list[Daemon], key: str
) -> bool:
    answers = [await harness.send_request(d.front, "/plain/x", key) for d in daemons]
    return all(answer.status == 200 for answer in answers)


def _check(is_satisfied: bool, description: str) -> None:
    if not is_satisfied:
        raise DemoFailedError(description)


if __name__ == "__main__":
    sys.exit(main())
