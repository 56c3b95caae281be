"""The journal files of a folder: one for each process, under a lock that ends with the process.

The first is `owed`; `owed.1`, `owed.2` ... follow. Two processes share the folder during an upgrade. A file
that is not locked belongs to a dead process, and a process that locks it may adopt its records.
"""

import fcntl
import os
from pathlib import Path

MAX_FILES = 16  # journal files in one folder: an upgrade leaves two, three upgrades in a row as many more
FILE_NAMES = ["owed", *(f"owed.{n}" for n in range(1, MAX_FILES))]


class AllFilesLocked(OSError):
    """Every journal file name is locked by a running process."""


def lock(path: Path, create: bool = False) -> int | None:
    """A descriptor of the locked file; None if another process holds the lock or the file does not exist."""
    for _ in range(MAX_FILES):
        try:
            fd = os.open(path, os.O_RDWR | os.O_APPEND | os.O_CLOEXEC | (os.O_CREAT if create else 0), 0o600)
        except FileNotFoundError:
            return None
        if not try_lock(fd):
            os.close(fd)
            return None
        # Its holder may have removed or replaced the file between the two calls.
        try:
            if os.path.samestat(os.stat(path), os.fstat(fd)):
                return fd
        except FileNotFoundError:
            pass
        os.close(fd)
    return None


def try_lock(fd: int) -> bool:
    """Whether the lock was acquired; also true on a file system without locks, with one process only."""
    try:
        fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError:
        return False
    except OSError:
        pass
    return True


def open_own_file(folder: Path) -> tuple[Path, int]:
    """Open and lock a file to write: one that a dead process left, else a new one.

    Raises AllFilesLocked.
    """
    for create in (False, True):
        for name in FILE_NAMES:
            fd = lock(folder / name, create)
            if fd is not None:
                return folder / name, fd
    raise AllFilesLocked(
        f"{folder}: all of {FILE_NAMES[0]} to {FILE_NAMES[-1]} are locked by running processes, "
        f"at most {MAX_FILES} can share a folder"
    )


def other_files(folder: Path, mine: Path) -> list[Path]:
    """The existing journal files of the folder except `mine`."""
    return [folder / name for name in FILE_NAMES if folder / name != mine and (folder / name).exists()]


def replacement_path(path: Path) -> Path:
    """Where a rewrite of that file is written until it is complete."""
    return path.with_name(path.name + ".new")
