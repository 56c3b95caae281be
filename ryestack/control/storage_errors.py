"""What can be wrong with a control machine's folder."""

import errno

FULL = (errno.ENOSPC, errno.EDQUOT, errno.EFBIG)


class BadStorage(Exception):
    """A folder that can't be used as it is: the text names the file, the place and what was found."""


class StorageFull(Exception):
    """There was no room: nothing of it is stored, what was stored before stands."""


def is_full(error: OSError) -> bool:
    """Whether the error says that there is no room."""
    return error.errno in FULL
