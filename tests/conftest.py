"""Settings that every test run shares."""

from os import environ

from hypothesis import Phase, settings

# Shrinking a trace can take minutes; the profile "shrink" does it on request:
# HYPOTHESIS_PROFILE=shrink python -m pytest tests/test_x.py
QUICK_PHASES = (Phase.explicit, Phase.generate, Phase.target)

settings.register_profile(
    "ci", derandomize=True, deadline=None, database=None, phases=QUICK_PHASES
)
settings.register_profile("shrink", derandomize=True, deadline=None, database=None)
# For bench.soak, which gives the seed and the number of examples.
settings.register_profile(
    "soak",
    max_examples=int(environ.get("BALSAMTIDE_SOAK_EXAMPLES", "1000")),
    deadline=None,
    database=None,
    phases=QUICK_PHASES,
)
settings.load_profile(environ.get("HYPOTHESIS_PROFILE", "ci"))
