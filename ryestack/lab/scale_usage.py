"""Resource use of processes, from /proc, and the limits of the computer."""

import os
import resource
from dataclasses import dataclass
from pathlib import Path

from .scale_plan import MAX_PROCESSES, Limits

PROC = Path("/proc")


@dataclass(frozen=True, slots=True)
class Usage:
    """cpu: processor seconds since the process started; memory: proportional set size in bytes."""

    cpu: float
    memory: int


def usage(process_id: int) -> Usage:
    """Use of a running process; raises OSError where there is none."""
    rows = (PROC / str(process_id) / "smaps_rollup").read_text().splitlines()
    kilobytes = next(int(row.split()[1]) for row in rows if row.startswith("Pss:"))
    return Usage(cpu_seconds(process_id), kilobytes * 1024)


def cpu_seconds(process_id: int) -> float:
    """Processor time of all its threads; raises OSError where there is no such process."""
    tasks = (PROC / str(process_id) / "task").iterdir()
    return sum(int((task / "schedstat").read_text().split()[0]) for task in tasks) / 1e9


def runs(process_id: int) -> bool:
    """Whether the process exists and is not a zombie."""
    try:
        state = (PROC / str(process_id) / "stat").read_text().rpartition(")")[2].split()[0]
    except OSError:
        return False
    return state != "Z"


def limits() -> Limits:
    """Limits of this computer for the current user."""
    memory = os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES")
    descriptors = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    processes = resource.getrlimit(resource.RLIMIT_NPROC)[0]
    low, high = map(int, (PROC / "sys/net/ipv4/ip_local_port_range").read_text().split())
    allowed = MAX_PROCESSES if processes == resource.RLIM_INFINITY else min(MAX_PROCESSES, processes)
    return Limits(memory, descriptors, high - low + 1, allowed)
