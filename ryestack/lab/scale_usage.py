"""What a process uses, from /proc, and what the computer allows."""

import os
import resource
from dataclasses import dataclass
from pathlib import Path

from .scale_plan import MOST_PROCESSES, Limits

PROC = Path("/proc")


@dataclass(frozen=True, slots=True)
class Usage:
    """cpu: seconds since the process began; memory: bytes resident, shared pages by their part."""

    cpu: float
    memory: int


def usage(process_id: int) -> Usage:
    """Of a process that runs; raises OSError where there is none."""
    rows = (PROC / str(process_id) / "smaps_rollup").read_text().splitlines()
    kilobytes = next(int(row.split()[1]) for row in rows if row.startswith("Pss:"))
    return Usage(cpu_seconds(process_id), kilobytes * 1024)


def cpu_seconds(process_id: int) -> float:
    """Processor time of all its threads; raises OSError where there is no such process."""
    tasks = (PROC / str(process_id) / "task").iterdir()
    return sum(int((task / "schedstat").read_text().split()[0]) for task in tasks) / 1e9


def runs(process_id: int) -> bool:
    """Whether there is such a process that has not ended."""
    try:
        state = (PROC / str(process_id) / "stat").read_text().rpartition(")")[2].split()[0]
    except OSError:
        return False
    return state != "Z"


def limits() -> Limits:
    """Of this computer, for the user that runs this."""
    memory = os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES")
    descriptors = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    processes = resource.getrlimit(resource.RLIMIT_NPROC)[0]
    low, high = map(int, (PROC / "sys/net/ipv4/ip_local_port_range").read_text().split())
    allowed = MOST_PROCESSES if processes == resource.RLIM_INFINITY else min(MOST_PROCESSES, processes)
    return Limits(memory, descriptors, high - low + 1, allowed)
