"""`scripts/bench relay`: throughput of one entry process and the latency it adds.

One entry, engine stand-ins and clients run as separate processes on loopback. The bench
measures the tokens per second, the entry's processor time and the latency that the
entry adds to the first token. To measure that latency, a probing client calls an idle
engine, which stamps its first token, alternately through the entry and directly.
"""

import argparse
import os
from collections import Counter
from pathlib import Path

import msgspec

from burdockhaven_bench.latency import LatencySummary
from burdockhaven_bench.relay_client import ClientOptions, ClientResult
from burdockhaven_core.configuration import ClassSpec, GroupKind
from burdockhaven_core.identity import ClassName, GroupName
from burdockhaven_standins.processes import RunningProcess
from burdockhaven_standins.site import (
    Site,
    SiteTiming,
    group_spec,
    site_configuration,
)

ACCOUNT_KEY = "the-account-key-of-the-bench"
DEADLINE_MS = 120_000
# Slots of each load engine, more than the load occupies.
SLOTS = 1_000
PREFILL_TOKENS_PER_S = 1_000_000
PROBES_PER_S = 20.0
PROBE_TOKENS = 2
TIMING = SiteTiming(heartbeat_interval_ms=500, assignment_lifetime_s=30)
# Seconds of warm-up in addition to the duration of one stream.
SETTLE_TIME_S = 4.0
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


class RelayOptions(msgspec.Struct, frozen=True):
    """Load of the bench; the defaults forecast one daemon's share in two years."""

    requests_per_s: float = 78.0
    # Tokens per answer.
    tokens: int = 333
    # Seconds between two tokens of a stream.
    token_interval_s: float = 0.0423
    # Tokens per event of an engine.
    chunk_tokens: int = 1
    engines: int = 6
    clients: int = 4
    measure_s: float = 15.0


class LoadResult(msgspec.Struct, frozen=True):
    """Results of one load."""

    requests_per_s: float
    tokens_per_s: float
    open_streams: int
    # Processor time of the entry process, as a fraction of one core.
    entry_cpu: float
    # Resident memory of the entry process, in megabytes.
    entry_rss_mb: float
    # Number of answers that ended in the measured time, by outcome.
    outcomes: dict[str, int]
    # Time to the first token without the engine's own time, through the entry and
    # directly.
    through_entry: LatencySummary
    directly: LatencySummary

    @property
    def added_p99_ms(self) -> float:
        """Difference of the 99th percentiles through the entry and directly."""
        return self.through_entry.p99_ms - self.directly.p99_ms


class RelayBench:
    """A site with one entry under load and an idle engine for the probes."""

    def __init__(self, options: RelayOptions, site: Site) -> None:
        self.options = options
        self.site = site
        self.probe = site.add_target(
            "engine", "probe", "--stamps", "--prefill-tokens-per-s", "1e6"
        )
        engines = [self._add_engine(number) for number in range(options.engines)]
        groups = [
            group_spec("load", GroupKind.MODEL, engines, SLOTS),
            group_spec("probe", GroupKind.MODEL, [self.probe], SLOTS),
        ]
        classes = [_class_spec("load"), _class_spec("probe")]
        site.publish(site_configuration(groups, classes, ACCOUNT_KEY))
        self.entry = site.add_entry("entry")

    def measure(self, share: float) -> LoadResult:
        """Measure the entry at a fraction of the full load."""
        rate = self.options.requests_per_s * share
        clients = [self._start_client(rate) for _ in range(self.options.clients)]
        prober = self._start_prober()
        clients[0].wait_for_line("measuring")
        before_s = _cpu_s(self.entry.process)
        clients[0].wait_for_line("measured")
        cpu = (_cpu_s(self.entry.process) - before_s) / self.options.measure_s
        rss_mb = _rss_mb(self.entry.process)
        results = [_result(client) for client in clients]
        probed = _result(prober)
        outcomes = sum((Counter(each.outcomes) for each in results), Counter())
        return LoadResult(
            requests_per_s=rate,
            tokens_per_s=sum(each.tokens_per_s for each in results),
            open_streams=sum(each.open_streams for each in results),
            entry_cpu=cpu,
            entry_rss_mb=rss_mb,
            outcomes=dict(outcomes + Counter(probed.outcomes)),
            through_entry=probed.through_entry,
            directly=probed.directly,
        )

    @property
    def warm_up_s(self) -> float:
        """Seconds until the number of open streams is stable."""
        return self.options.tokens * self.options.token_interval_s + SETTLE_TIME_S

    def _add_engine(self, number: int) -> RunningProcess:
        options = {
            "slots": SLOTS,
            "max-batch": 2 * SLOTS,
            "token-interval-s": self.options.token_interval_s,
            "chunk-tokens": self.options.chunk_tokens,
            "prefill-tokens-per-s": PREFILL_TOKENS_PER_S,
        }
        flags = [f"--{name}={value}" for name, value in options.items()]
        return self.site.add_target("engine", f"engine-{number}", *flags)

    def _start_client(self, rate: float) -> RunningProcess:
        return self._start(
            ClientOptions(
                entry=self.entry.caller_address,
                account_key=ACCOUNT_KEY,
                request_class="load",
                requests_per_s=rate / self.options.clients,
                tokens=self.options.tokens,
                warm_up_s=self.warm_up_s,
                measure_s=self.options.measure_s,
            )
        )

    def _start_prober(self) -> RunningProcess:
        return self._start(
            ClientOptions(
                entry=self.entry.caller_address,
                account_key=ACCOUNT_KEY,
                request_class="probe",
                requests_per_s=2 * PROBES_PER_S,
                tokens=PROBE_TOKENS,
                warm_up_s=self.warm_up_s,
                measure_s=self.options.measure_s,
                direct=self.probe.url,
            )
        )

    def _start(self, options: ClientOptions) -> RunningProcess:
        text = msgspec.json.encode(options).decode()
        module = "burdockhaven_bench.relay_client"
        return self.site.group.start("client", [module, text])


def _class_spec(name: str) -> ClassSpec:
    return ClassSpec(ClassName(name), GroupName(name), 1, DEADLINE_MS)


def _result(client: RunningProcess) -> ClientResult:
    line = client.wait_for_line("result ")
    client.wait()
    return msgspec.json.decode(line.partition(" ")[2], type=ClientResult)


def _cpu_s(running: RunningProcess) -> float:
    """Return the user and system time of a process so far, in seconds."""
    stat = Path(f"/proc/{running.process.pid}/stat").read_text()
    fields = stat.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


def _rss_mb(running: RunningProcess) -> float:
    status = Path(f"/proc/{running.process.pid}/status").read_text()
    (line,) = [each for each in status.splitlines() if each.startswith("VmRSS:")]
    return int(line.split()[1]) / 1024


def _show(name: str, result: LoadResult) -> None:
    print(f"{name}: {result.requests_per_s:.0f} requests/s offered")
    print(f"  tokens/s relayed        {result.tokens_per_s:10.0f}")
    print(f"  streams open            {result.open_streams:10d}")
    print(f"  entry, share of a core  {result.entry_cpu:10.2f}")
    print(f"  entry, resident MB      {result.entry_rss_mb:10.0f}")
    print(f"  answers by end          {result.outcomes}")
    for way, times in (
        ("through the entry", result.through_entry),
        ("directly", result.directly),
    ):
        print(
            f"  first token {way:17s} p50 {times.p50_ms:.2f} ms, "
            f"p99 {times.p99_ms:.2f} ms, max {times.max_ms:.2f} ms, n {times.count}"
        )
    print(f"  added at p99            {result.added_p99_ms:10.2f} ms", flush=True)


def main() -> None:
    """Measure at the given loads, by default half and full, and print the results."""
    parser = argparse.ArgumentParser(prog="scripts/bench relay")
    parser.add_argument("--json", action="store_true", help="print JSON as well")
    parser.add_argument(
        "--load", type=float, action="append", help="fraction of the full load"
    )
    for field in msgspec.structs.fields(RelayOptions):
        name = "--" + field.name.replace("_", "-")
        parser.add_argument(name, type=field.type, default=field.default)
    arguments = vars(parser.parse_args())
    as_json, loads = arguments.pop("json"), arguments.pop("load") or [0.5, 1.0]
    options = RelayOptions(**arguments)
    with Site.start(TIMING) as site:
        bench = RelayBench(options, site)
        for share in loads:
            result = bench.measure(share)
            _show(f"load {share:g}", result)
            if as_json:
                print(msgspec.json.encode(result).decode(), flush=True)


if __name__ == "__main__":
    main()
