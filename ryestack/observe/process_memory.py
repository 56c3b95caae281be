"""The memory of a process, as the system counts it."""

from contextlib import suppress
from pathlib import Path

KIB = 1024


def resident_bytes(pid: int | str = "self", peak: bool = False) -> int:
    """Resident bytes of a process now, or the most so far; 0 where the system does not say."""
    name = "VmHWM:" if peak else "VmRSS:"
    with suppress(OSError):
        for line in Path(f"/proc/{pid}/status").read_text().splitlines():
            if line.startswith(name):
                return int(line.split()[1]) * KIB
    return 0
