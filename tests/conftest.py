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
settings.load_profile(environ.get("HYPOTHESIS_PROFILE", "ci"))
