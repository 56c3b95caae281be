"""Chance in tests: the same examples each time, and no verdict from how fast the machine is.

Faults that are known and not mended yet stand in KNOWN-RED.txt at the root, a line each with bars between:
test, cause, issue. Just these are expected to fail; one that passes fails the run, so its line is taken out.
"""

from pathlib import Path

import pytest
from hypothesis import settings

settings.register_profile("same", derandomize=True, deadline=None, database=None, print_blob=False)
settings.load_profile("same")

MOST = 3
FILE = Path(__file__).resolve().parent.parent / "KNOWN-RED.txt"


def known_red() -> dict[str, str]:
    """Test to why it fails."""
    found = {}
    for line in FILE.read_text().splitlines() if FILE.exists() else ():
        if not line.strip():
            continue
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != 3 or not all(parts):
            raise pytest.UsageError(f"KNOWN-RED.txt: {line!r} is not test | cause | issue")
        found[parts[0]] = f"{parts[1]} ({parts[2]})"
    if len(found) > MOST:
        raise pytest.UsageError(f"KNOWN-RED.txt holds {len(found)} tests, {MOST} at most")
    return found


def pytest_collection_modifyitems(items):
    red = known_red()
    for item in items:
        if item.nodeid in red:
            item.add_marker(pytest.mark.xfail(reason=red[item.nodeid], strict=True))


def pytest_terminal_summary(terminalreporter):
    for name, why in known_red().items():
        terminalreporter.write_line(f"known red: {name}: {why}")
