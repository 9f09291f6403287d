"""`scripts/demo --platform`: demonstration of the daemons on the users' platform.

Three daemons run as processes against a stand-in of the platform: its store, two
engines and a plain service. A client looks up addresses, streams an answer and sends a
plain request; an engine interrupts a stream; the operator replaces the key; one daemon
is stopped and another killed. The exit code is 0 only if every step succeeded.
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
# Events of a stream of 20 tokens with up to six tokens each.
EVENTS = 4


class DemoFailedError(Exception):
    """A step of the demonstration failed; the message describes the failure."""


def main() -> int:
    """Run the demonstration; return the exit code."""
    try:
        asyncio.run(_run())
    except (DemoFailedError, TimeoutError) as error:
        print(f"FAILED: {error!r}", file=sys.stderr)
        return 1
    except KeyboardInterrupt:
        print("interrupted; all processes stopped", file=sys.stderr)
        return 130
    print("done: all processes stopped")
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
    print("2. start three daemons; each look-up lists all of them")
    daemons = [await harness.start_daemon(node) for node in NODES]
    await harness.wait_until_look_ups_name({d.front for d in daemons}, *NODES)
    for daemon in daemons:
        print(f"   {daemon.node} serves requests at {daemon.front}")
    first, second, third = daemons
    print("3. send one stream and one plain request to each")
    for daemon in daemons:
        await _check_both_routes(harness, daemon, "k1")
    print("4. interrupt a stream at one engine; the other engine resumes it")
    faults = TargetFaults(abort_next_after_events=2)
    for engine in harness.site.engines:
        engine.record.faults = faults
    broken = await harness.send_request(first.front, "/stream/x")
    _check_stream(broken)
    _check(faults.abort_next_after_events is None, "no stream was interrupted")
    print(
        f"   {broken.request}: {EVENTS} events, "
        f"{harness.site.runs_of(broken.request)} runs"
    )
    print("5. replace the account's key")
    harness.site.publish(2, ["k2"])
    await harness.wait_until(lambda: _is_key_accepted(harness, daemons, "k2"))
    old = await harness.send_request(first.front, "/plain/x", "k1")
    _check(old.status == 401, f"status {old.status} instead of 401 for the old key")
    print("6. stop one daemon and kill another; the third keeps serving")
    code = await harness.stop_daemon(first.node)
    _check(code == 0, f"{first.node} exited with code {code}")
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
    _check(runs == 1, f"the plain request ran {runs} times instead of once")
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
