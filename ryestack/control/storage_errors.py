"""Errors of a control machine's state folder."""

import errno

FULL = (errno.ENOSPC, errno.EDQUOT, errno.EFBIG)


class BadStorage(Exception):
    """The folder cannot be used as it is; the text names the file, the position and what was found."""


class StorageFull(Exception):
    """There was no space: nothing of the request was stored; earlier data is intact."""


def is_full(error: OSError) -> bool:
    """Whether the error means that there is no space."""
    return error.errno in FULL
