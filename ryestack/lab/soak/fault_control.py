"""Turns system-call faults of running processes on and off, through the file that faults.c maps."""

import errno
import mmap
import shutil
import struct
import subprocess
from enum import IntEnum
from pathlib import Path

SOURCE = Path(__file__).with_name("faults.c")
MILLION = 1_000_000
OFFSET = struct.Struct("=d")
RATE = struct.Struct("=Ii")
COUNT = struct.Struct("=I")


class NoCompiler(Exception):
    """There is no C compiler to build the library with."""


class Fault(IntEnum):
    """In the order of faults.c."""

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


ERRORS = {Fault.WAIT_INTERRUPTED: errno.EINTR, Fault.RECEIVE_FAILS: errno.ETIMEDOUT}
SIZE = OFFSET.size + len(Fault) * (RATE.size + COUNT.size)


def build(folder: Path) -> Path:
    """The library, compiled into that folder; raises NoCompiler or CalledProcessError."""
    compiler = shutil.which("cc") or shutil.which("gcc")
    if compiler is None:
        raise NoCompiler("a C compiler (cc or gcc) is needed for system-call faults")
    made = folder / "faults.so"
    command = [compiler, "-O2", "-Wall", "-Wextra", "-Werror", "-shared", "-fPIC"]
    subprocess.run([*command, "-o", str(made), str(SOURCE), "-ldl"], check=True, capture_output=True)
    return made


class FaultControl:
    """The faults of one relay. path: of the mapped file, made anew."""

    def __init__(self, path: Path):
        self.path = path
        path.write_bytes(bytes(SIZE))
        with open(path, "r+b") as file:
            self.memory = mmap.mmap(file.fileno(), SIZE)

    def environment(self, library: Path, folder: Path) -> dict[str, str]:
        """Of the process; folder: where its writes may fail."""
        return {
            "LD_PRELOAD": str(library),
            "SOAK_FAULTS": str(self.path),
            "SOAK_FAULTS_FOLDER": str(folder),
        }

    def step_wall_clock(self, seconds: float) -> None:
        """Seconds that the process's wall clock is off from now on."""
        OFFSET.pack_into(self.memory, 0, seconds)

    def set(self, fault: Fault, part: float, error: int = 0) -> None:
        """part: of the calls that fail, 0 to 1; error: the errno, where the fault is a failure."""
        number = error or ERRORS.get(fault, errno.EIO)
        RATE.pack_into(self.memory, OFFSET.size + fault * RATE.size, round(part * MILLION), number)

    def clear(self) -> None:
        """No more faults; the wall clock stays as it is."""
        for fault in Fault:
            self.set(fault, 0.0)

    def injected(self) -> dict[str, int]:
        """How often each fault struck, over all processes that map the file."""
        base = OFFSET.size + len(Fault) * RATE.size
        counts = {f.name: COUNT.unpack_from(self.memory, base + f * COUNT.size)[0] for f in Fault}
        return {name: count for name, count in counts.items() if count}

    def close(self) -> None:
        self.memory.close()
