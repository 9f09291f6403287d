"""Settings of the state machines: a fixed short run in CI, a longer one on demand."""

import os

from hypothesis import HealthCheck, settings

# Steps of a long run, set by scripts/fuzz; not set in CI.
STEPS_VARIABLE = "BURDOCKHAVEN_FUZZ_STEPS"
STEPS_PER_EXAMPLE = 60

settings.register_profile(
    "ci",
    derandomize=True,
    deadline=None,
    max_examples=25,
    stateful_step_count=30,
    suppress_health_check=list(HealthCheck),
    database=None,
)
settings.register_profile(
    "long",
    derandomize=False,
    deadline=None,
    max_examples=max(1, int(os.environ.get(STEPS_VARIABLE, "0")) // STEPS_PER_EXAMPLE),
    stateful_step_count=STEPS_PER_EXAMPLE,
    suppress_health_check=list(HealthCheck),
    print_blob=True,
    database=None,
)
settings.load_profile("long" if STEPS_VARIABLE in os.environ else "ci")
