"""Measures processor time and memory of one call of the real code."""

import gc
import time
import tracemalloc
from collections.abc import Callable

# Samples taken at each size.
SAMPLES = 5
# Memory hardly differs from sample to sample, and building it takes long.
MEMORY_SAMPLES = 2
# Processor seconds that one sample takes at least, so that the clock's grain and the
# loop's own cost do not show.
MIN_SAMPLE_S = 0.02

MICROSECONDS_PER_S = 1e6


def processor_us(call: Callable[[], object]) -> tuple[float, ...]:
    """Processor microseconds of one call, sampled some times over."""
    rounds = _rounds_for(call)
    return tuple(
        _processor_s(call, rounds) / rounds * MICROSECONDS_PER_S for _ in range(SAMPLES)
    )


def memory_bytes(build: Callable[[], object]) -> tuple[float, ...]:
    """Bytes that what `build` returns keeps, sampled some times over."""
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
