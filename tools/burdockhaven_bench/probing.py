"""Sampling of the processor time and the memory of one call of the production code."""

import gc
import time
import tracemalloc
from collections.abc import Callable

# Samples of processor time at each size.
SAMPLES = 5
# Fewer samples of memory: they hardly differ, and each one is slow to build.
MEMORY_SAMPLES = 2
# Minimum processor time of one sample in seconds, long enough that the resolution of
# the clock and the overhead of the loop are negligible.
MIN_SAMPLE_S = 0.02

MICROSECONDS_PER_S = 1e6


def processor_us(call: Callable[[], object]) -> tuple[float, ...]:
    """Return samples of the processor time of one call, in microseconds."""
    rounds = _rounds_for(call)
    return tuple(
        _processor_s(call, rounds) / rounds * MICROSECONDS_PER_S for _ in range(SAMPLES)
    )


def memory_bytes(build: Callable[[], object]) -> tuple[float, ...]:
    """Return samples of the bytes that the result of `build` occupies."""
    return tuple(_retained_bytes(build) for _ in range(MEMORY_SAMPLES))


def _rounds_for(call: Callable[[], object]) -> int:
    rounds = 1
    while _processor_s(call, rounds) < MIN_SAMPLE_S:
        rounds *= 2
    return rounds


def _processor_s(call: Callable[[], object], rounds: int) -> float:
    gc.disable()
    try:
        start = time.process_time()
        for _ in range(rounds):
            call()
        return time.process_time() - start
    finally:
        gc.enable()


def _retained_bytes(build: Callable[[], object]) -> float:
    gc.collect()
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        retained = build()
        gc.collect()
        after = tracemalloc.get_traced_memory()[0]
        del retained
        return float(after - before)
    finally:
        tracemalloc.stop()
