"""Saves the endpoint list in the relay's folder, for the processes after this one."""

import asyncio
from collections.abc import Callable
from dataclasses import replace
from math import inf

from ..membership.list_versions import KnownList, applied, read_change
from ..observe.log import event
from ..store.list_file import ListFile, ListTooLarge

WRITE_RETRY_S = 0.5  # between attempts to write the whole list, once a write has failed


class ListSaver:
    """Saves each version of the list as it comes into force, before anything is decided by it.

    A list is saved as the fields of a ListChange. boot: identifies the boot that times of the monotonic clock
    count from, "" if unknown. export: gives the whole list, None while there is none to save. alone: whether
    no successor writes in the folder. unsaved: whether the folder lacks the list in force. saved_version:
    the last one that this process has written.
    """

    def __init__(self, folder: str, boot: str):
        self.file, self.boot = ListFile(folder), boot
        self.export: Callable[[], dict | None] = lambda: None
        self.alone: Callable[[], bool] = lambda: True
        self.needs_rewrite, self.unsaved = False, False
        self.loaded: KnownList | None = None
        self.saved_version = 0
        self.retry: asyncio.TimerHandle | None = None

    def load(self) -> KnownList | None:
        """The list that the processes before this one left; None if there is none that can be read."""
        saved, known = self.file.load(), None
        self.needs_rewrite = not (saved.complete and saved.records)
        if not saved.complete:
            event("list.unsaved", why=f"of the saved list {len(saved.records)} records could be read")
        for fields in saved.records:
            try:
                known = applied(known, read_change(fields))
                same_boot = bool(self.boot) and fields["boot"] == self.boot
            except (KeyError, TypeError, ValueError, AttributeError) as problem:
                event("list.unsaved", why=f"the saved list is invalid: {problem!r}")
                self.needs_rewrite = True
                break
            self.needs_rewrite |= not same_boot
            # Times of another boot cannot be compared: how old the list is, is unknown.
            known = known if same_boot or known is None else replace(known, confirmed_at=-inf)
        self.loaded = known
        self.saved_version = known.version if known else 0
        return known

    def save_initial(self, beside: bool) -> None:
        """Save the list that a start goes by.

        beside: whether the predecessor runs; it may be saving another version just now, so that a file that
        has the list is left alone.
        """
        in_force, loaded = self.export(), self.loaded
        is_saved = bool(
            in_force
            and loaded
            and (loaded.registry, loaded.generation, loaded.version)
            == (in_force["registry"], in_force["generation"], in_force["version"])
        )
        if self.needs_rewrite or not (beside and is_saved):
            self.save_whole()

    def save(self, change: dict) -> None:
        """Append a change, or write the whole list where that takes too much room or the file is damaged."""
        has_base = change["since"] in (None, self.saved_version) and not self.file.is_replaced()
        if self.needs_rewrite or self.unsaved or (self.alone() and not has_base):
            return self.save_whole()
        try:
            size = self.file.append({**change, "boot": self.boot})
        except OSError:
            return self.save_whole()
        self.saved_version = change["version"]
        if size > self.file.rewrite_at and self.alone():
            self.save_whole()

    def save_whole(self) -> None:
        """Write the whole list; where the folder fails, again until it is written."""
        change = self.export()
        if change is None:
            return
        try:
            self.file.rewrite({**change, "boot": self.boot})
            self.needs_rewrite = self.unsaved = False
            self.saved_version = change["version"]
        except OSError as problem:
            if not self.unsaved:
                event("list.unsaved", why=str(problem))
            self.unsaved = True
            if not isinstance(problem, ListTooLarge):
                self._retry_later()

    def _retry_later(self) -> None:
        if self.retry is None:
            self.retry = asyncio.get_running_loop().call_later(WRITE_RETRY_S, self._retry)

    def _retry(self) -> None:
        self.retry = None
        if self.unsaved:
            self.save_whole()

    def discard(self) -> None:
        """Remove the file: the list of the configuration is the only one."""
        self.file.remove()

    def close(self) -> None:
        """Write no more."""
        if self.retry:
            self.retry.cancel()
