"""The files of a folder: one for each process that writes in it, under a lock that ends with the process.

`owed` is the first, `owed.1`, `owed.2` ... follow. Two processes are there during an upgrade; a file that
nobody holds is of a process that is dead, and whoever locks it may take over what it says.
"""

import fcntl
import os
from pathlib import Path

MOST = 16  # files that may stand beside each other: an upgrade leaves two, three in a row as many more
NAMES = ["owed", *(f"owed.{n}" for n in range(1, MOST))]


class Held(OSError):
    """Each name is held by a process that lives."""


def lock(path: Path, create: bool = False) -> int | None:
    """A descriptor of the file, locked; None if another process holds it, or it is not there."""
    for _ in range(MOST):
        try:
            fd = os.open(path, os.O_RDWR | os.O_APPEND | os.O_CLOEXEC | (os.O_CREAT if create else 0), 0o600)
        except FileNotFoundError:
            return None
        if not grasp(fd):
            os.close(fd)
            return None
        # Its holder may have taken it away, or put a new one in its place, between the two calls.
        try:
            if os.path.samestat(os.stat(path), os.fstat(fd)):
                return fd
        except FileNotFoundError:
            pass
        os.close(fd)
    return None


def grasp(fd: int) -> bool:
    """Whether the lock is ours; where a file system knows none, the one process there has it."""
    try:
        fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError:
        return False
    except OSError:
        pass
    return True


def own(folder: Path) -> tuple[Path, int]:
    """A file to write: one that a dead process left, else a new one."""
    for create in (False, True):
        for name in NAMES:
            fd = lock(folder / name, create)
            if fd is not None:
                return folder / name, fd
    raise Held(f"{folder}: all of {NAMES[0]} to {NAMES[-1]} are held by processes that live")


def others(folder: Path, mine: Path) -> list[Path]:
    return [folder / name for name in NAMES if folder / name != mine and (folder / name).exists()]


def fresh(path: Path) -> Path:
    """Where a rewrite of that file stands until it is whole."""
    return path.with_name(path.name + ".new")
