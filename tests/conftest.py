"""Chance in tests: the same examples each time, and no verdict from how fast the machine is."""

from hypothesis import settings

settings.register_profile("same", derandomize=True, deadline=None, database=None, print_blob=False)
settings.load_profile("same")
