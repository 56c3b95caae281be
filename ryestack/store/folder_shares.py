"""How the bytes that a relay's folder may hold are divided among its files.

The journal has half of them at least. Of the other half, each file has room for itself and for the
replacement that is written beside it.
"""

from dataclasses import dataclass

from . import list_file, remembered, stale_file
from .remembered import COPIES

JOURNAL_DIVISOR = 2  # the least part of the folder that the journal has
# Parts of the folder that one copy of a file has at most. The endpoint list has what they leave of the half.
LEARNT_DIVISOR, FAILING_DIVISOR = 40, 128
SCOPE_DIVISOR = 8  # this part is for the scope from the control machines, with its replacement


@dataclass(frozen=True, slots=True)
class FolderShares:
    """The most bytes of each file: the journal; one copy of the endpoint list, the learnt state and the
    failing routes; the scope with its replacement."""

    journal: int
    list_file: int
    learnt: int
    failing: int
    scope: int


def divide(folder_bytes: int, scoped: bool = False) -> FolderShares:
    """scoped: whether the relay follows control machines, whose scope takes the place of the list."""
    least_journal = folder_bytes // JOURNAL_DIVISOR
    learnt = min(remembered.max_file_bytes(remembered.LEARNT), folder_bytes // LEARNT_DIVISOR)
    failing = min(remembered.max_file_bytes(remembered.FAILING), folder_bytes // FAILING_DIVISOR)
    others = COPIES * (learnt + failing) + stale_file.FILE_BYTES
    if scoped:
        scope = folder_bytes // SCOPE_DIVISOR
        return FolderShares(folder_bytes - others - scope, 0, learnt, failing, scope)
    room = max(0, folder_bytes - least_journal - others) // COPIES
    list_bytes = min(list_file.MAX_FILE_BYTES, room)
    journal = max(least_journal, folder_bytes - others - COPIES * list_bytes)
    return FolderShares(journal, list_bytes, learnt, failing, 0)
