"""Settings that every test run shares."""

from os import environ

from hypothesis import settings

SOAK_EXAMPLES = int(environ.get("BALSAMTIDE_SOAK_EXAMPLES", "1000"))

settings.register_profile("ci", derandomize=True, deadline=None, database=None)
settings.register_profile(
    "soak", max_examples=SOAK_EXAMPLES, deadline=None, database=None
)
settings.load_profile("ci")
