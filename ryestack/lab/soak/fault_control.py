"""Switches system-call faults of running processes on and off, through the file that faults.c maps."""

import errno
import mmap
import shutil
import struct
import subprocess
from enum import IntEnum
from pathlib import Path

SOURCE = Path(__file__).with_name("faults.c")
PARTS_PER_MILLION = 1_000_000
WALL_OFFSET = struct.Struct("=d")
FAULT_SETTING = struct.Struct("=Ii")
INJECTED_COUNT = struct.Struct("=I")


class NoCompiler(Exception):
    """No C compiler was found to build the faults library."""


class Fault(IntEnum):
    """The faults, in the order of `enum fault` in faults.c."""

    ACCEPT_FAILS = 0
    SOCKET_FAILS = 1
    CONNECT_FAILS = 2
    WRITE_FAILS = 3
    WRITE_SHORT = 4
    TRUNCATE_FAILS = 5
    RENAME_FAILS = 6
    OPEN_FAILS = 7
    SEND_SHORT = 8
    RECEIVE_SHORT = 9
    RECEIVE_FAILS = 10
    WAIT_INTERRUPTED = 11
    DISK_SLOW = 12  # its errno is the longest time of an operation in milliseconds


MAX_DISK_DELAY_MS = 300
DEFAULT_ERRNOS = {
    Fault.WAIT_INTERRUPTED: errno.EINTR,
    Fault.RECEIVE_FAILS: errno.ETIMEDOUT,
    Fault.DISK_SLOW: MAX_DISK_DELAY_MS,
}
SIZE = WALL_OFFSET.size + len(Fault) * (FAULT_SETTING.size + INJECTED_COUNT.size)


def build(folder: Path) -> Path:
    """Compiles the library into the folder and returns its path; raises NoCompiler or CalledProcessError."""
    compiler = shutil.which("cc") or shutil.which("gcc")
    if compiler is None:
        raise NoCompiler("a C compiler (cc or gcc) is needed for system-call faults")
    library = folder / "faults.so"
    command = [compiler, "-O2", "-Wall", "-Wextra", "-Werror", "-shared", "-fPIC"]
    subprocess.run([*command, "-o", str(library), str(SOURCE), "-ldl"], check=True, capture_output=True)
    return library


class FaultControl:
    """The faults of one relay. path: the mapped file, which is created or overwritten."""

    def __init__(self, path: Path):
        self.path = path
        path.write_bytes(bytes(SIZE))
        with open(path, "r+b") as file:
            self.memory = mmap.mmap(file.fileno(), SIZE)

    def environment(self, library: Path, folder: Path) -> dict[str, str]:
        """Environment variables for the process; folder: where its writes may fail."""
        return {
            "LD_PRELOAD": str(library),
            "SOAK_FAULTS": str(self.path),
            "SOAK_FAULTS_FOLDER": str(folder),
        }

    def step_wall_clock(self, seconds: float) -> None:
        """Sets the offset of the process's wall clock, in seconds."""
        WALL_OFFSET.pack_into(self.memory, 0, seconds)

    def set(self, fault: Fault, ratio: float, error: int = 0) -> None:
        """Sets a fault. ratio: fraction of calls that fail, 0 to 1; error: errno, 0: its default."""
        errno_value = error or DEFAULT_ERRNOS.get(fault, errno.EIO)
        FAULT_SETTING.pack_into(
            self.memory,
            WALL_OFFSET.size + fault * FAULT_SETTING.size,
            round(ratio * PARTS_PER_MILLION),
            errno_value,
        )

    def clear(self) -> None:
        """Switches all faults off; the wall-clock offset stays."""
        for fault in Fault:
            self.set(fault, 0.0)

    def injected(self) -> dict[str, int]:
        """Number of injections of each fault, over all processes that map the file."""
        base = WALL_OFFSET.size + len(Fault) * FAULT_SETTING.size
        counts = {
            f.name: INJECTED_COUNT.unpack_from(self.memory, base + f * INJECTED_COUNT.size)[0] for f in Fault
        }
        return {name: count for name, count in counts.items() if count}

    def close(self) -> None:
        self.memory.close()
