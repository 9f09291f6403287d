"""Hypothesis settings: short and deterministic in CI, longer and random on demand."""

import os

from hypothesis import HealthCheck, Phase, settings

# Number of steps of a long run, set by scripts/fuzz; not set in CI.
STEPS_VARIABLE = "BURDOCKHAVEN_FUZZ_STEPS"
STEPS_PER_EXAMPLE = 40
EXAMPLES_IN_CI = 25

IS_LONG = STEPS_VARIABLE in os.environ
LONG_EXAMPLES = max(1, int(os.environ.get(STEPS_VARIABLE, "0")) // STEPS_PER_EXAMPLE)

FUZZING = settings(
    derandomize=not IS_LONG,
    deadline=None,
    max_examples=LONG_EXAMPLES if IS_LONG else EXAMPLES_IN_CI,
    stateful_step_count=STEPS_PER_EXAMPLE,
    suppress_health_check=list(HealthCheck),
    report_multiple_bugs=False,
    database=None,
)

# Searches for a violation that must be found, without shrinking it. Hypothesis also
# draws constants of the modules that are loaded, so the example that finds it differs
# between test workers even at a fixed seed.
SEARCH = settings(
    FUZZING, derandomize=False, max_examples=6_000, phases=[Phase.generate]
)
