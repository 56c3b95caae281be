"""Saves the endpoint list in the relay's folder, for the processes after this one."""

import asyncio
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field, replace
from math import inf

from ..membership.list_versions import KnownList, applied, read_change
from ..membership.stale_rows import ALL_STALE, ListId, StaleRows, checksums, stale_names
from ..observe.log import event
from ..store.list_file import MAX_FILE_BYTES, ListFile, ListTooLarge
from ..store.stale_file import StaleFile
from ..wire.registry_directory import RegistryDirectory

WRITE_RETRY_S = 0.5  # between attempts to write the whole list, once a write has failed
GUARDED = "guarded"  # key of a record: the file of stale rows was there when it was written


@dataclass(frozen=True, slots=True)
class ListInForce:
    """The rows that a process goes by, by the endpoint's name, and which of them get nothing new."""

    version: ListId
    rows: dict[str, dict]
    withheld: frozenset[str] = frozenset()


@dataclass(slots=True)
class SavedList:
    """What the folder holds: the list, None if there is none that can be read, and its rows that are out of
    date, None if none is known to be."""

    known: KnownList | None = None
    stale: StaleRows | None = None
    is_guarded: bool = False
    problems: list[str] = field(default_factory=list)
    same_boot: bool = True


class ListSaver:
    """Saves each version of the list as it comes into force, before anything is decided by it.

    A list is saved as the fields of a ListChange. Where it cannot be saved, the folder is told which rows of
    the list there are out of date. boot: identifies the boot that times of the monotonic clock count from, ""
    if unknown. export: gives the whole list, None while there is none to save. in_force: gives the list in
    force. configured: the list that a start without a saved one goes by. alone: whether no successor writes
    in the folder. unsaved: whether the folder lacks the list in force. saved_version: the last one that this
    process has written.
    """

    def __init__(self, folder: str, boot: str, max_bytes: int = MAX_FILE_BYTES):
        self.file, self.stale_file, self.boot = ListFile(folder, max_bytes), StaleFile(folder), boot
        self.export: Callable[[], dict | None] = lambda: None
        self.in_force: Callable[[], ListInForce | None] = lambda: None
        self.configured: Callable[[], KnownList | None] = lambda: None
        self.alone: Callable[[], bool] = lambda: True
        self.needs_rewrite, self.unsaved = False, False
        self.loaded: KnownList | None = None
        self.stale: StaleRows | None = None
        self.saved_version = 0
        self.retry: asyncio.TimerHandle | None = None

    def follow(self, directory: RegistryDirectory) -> None:
        """Save the list of that directory."""
        self.export = directory.export
        self.configured = lambda: directory.configured_list
        self.in_force = lambda: ListInForce(directory.version(), directory.members.rows, directory.withheld)

    def load(self) -> KnownList | None:
        """The list that the processes before this one left; None if there is none that can be read.

        stale: its rows that are out of date.
        """
        saved = self._read()
        for problem in saved.problems:
            event("list.unsaved", why=problem)
        self.needs_rewrite = bool(saved.problems) or saved.known is None or not saved.same_boot
        self.loaded, self.stale = saved.known, saved.stale
        self.saved_version = saved.known.version if saved.known else 0
        return saved.known

    def _read(self) -> SavedList:
        records, saved = self.file.load(), SavedList()
        if not records.complete:
            saved.problems.append(f"of the saved list {len(records.records)} records could be read")
        for fields in records.records:
            try:
                saved.known = applied(saved.known, read_change(fields))
                same_boot = bool(self.boot) and fields["boot"] == self.boot
            except (KeyError, TypeError, ValueError, AttributeError) as problem:
                saved.problems.append(f"the saved list is invalid: {problem!r}")
                break
            saved.same_boot &= same_boot
            saved.is_guarded = bool(fields.get(GUARDED))
            # Times of another boot cannot be compared: how old the list is, is unknown.
            if saved.known and not same_boot:
                saved.known = replace(saved.known, confirmed_at=-inf)
        saved.stale = self.stale_file.load()
        if saved.is_guarded and not self.stale_file.exists():  # removed where it could not be written
            saved.stale = ALL_STALE
        return saved

    def save_initial(self, beside: bool) -> None:
        """Save the list that a start goes by.

        beside: whether the predecessor runs; it may be saving another version just now, so that a file that
        has the list is left alone.
        """
        self._reserve()
        in_force, loaded = self.export(), self.loaded
        is_saved = bool(
            in_force
            and loaded
            and (loaded.registry, loaded.generation, loaded.version)
            == (in_force["registry"], in_force["generation"], in_force["version"])
        )
        if self.needs_rewrite or not (beside and is_saved):
            self.save_whole()

    def _reserve(self) -> None:
        if self.stale is not None and not self.stale_file.exists():
            return  # its absence tells that rows are out of date
        try:
            self.stale_file.reserve()
        except OSError as problem:
            event("list.unsaved", why=str(problem))

    def save(self, change: dict) -> None:
        """Append a change, or write the whole list where that takes too much room or the file is damaged."""
        has_base = change["since"] in (None, self.saved_version) and not self.file.is_replaced()
        is_behind = self.needs_rewrite or self.unsaved or self.stale is not None
        if not is_behind and not self.alone():  # the other process may have failed to save a version
            is_behind = self.stale_file.is_marked()
        if is_behind or (self.alone() and not has_base):
            return self.save_whole()
        try:
            size = self.file.append(self._record(change))
        except OSError:
            return self.save_whole()
        self.saved_version = change["version"]
        if size > self.file.rewrite_at and self.alone():
            self.save_whole()

    def _record(self, change: dict) -> dict:
        return {**change, "boot": self.boot, GUARDED: self.stale_file.exists()}

    def save_whole(self) -> None:
        """Write the whole list; where the folder fails, again until it is written."""
        change = self.export()
        if change is None:
            if self.stale is not None:  # what changes while rows are withheld is out of date there as well
                self._mark_stale()
            return
        if not self.stale_file.exists():
            with suppress(OSError):
                self.stale_file.reserve(ALL_STALE)
        try:
            self.file.rewrite(self._record(change))
            self.needs_rewrite = self.unsaved = False
            self.saved_version = change["version"]
            self.stale_file.clear()
            self.stale = None
        except OSError as problem:
            if not self.unsaved:
                event("list.unsaved", why=str(problem))
            self.unsaved = True
            self._mark_stale()
            if not isinstance(problem, ListTooLarge):
                self._retry_later()

    def _mark_stale(self) -> None:
        """Tell later starts which rows of the saved list are out of date.

        Where that cannot be written, the file goes, which tells that all may be.
        """
        current = self.in_force()
        if current is None:
            return
        self.stale = self._stale_rows(current)
        try:
            self.stale_file.mark(self.stale)
            event("list.stale", endpoints=len(self.stale.names), version=current.version.version)
        except OSError as problem:
            event("list.unsaved", why=str(problem))
            with suppress(OSError):
                self.stale_file.remove()

    def _stale_rows(self, current: ListInForce) -> StaleRows:
        base = self._read().known or self.configured()
        if base is None:
            return ALL_STALE
        names = stale_names(base.rows, current.rows) | checksums(current.withheld)
        # Of a list with rows that are withheld, only a former process knew all.
        version = self.stale.current if self.stale and current.withheld else current.version
        return StaleRows(ListId.of(base), version, names)

    def _retry_later(self) -> None:
        if self.retry is None:
            self.retry = asyncio.get_running_loop().call_later(WRITE_RETRY_S, self._retry)

    def _retry(self) -> None:
        self.retry = None
        if self.unsaved:
            self.save_whole()

    def discard(self) -> None:
        """Remove the files: the list of the configuration is the only one."""
        self.file.remove()
        with suppress(OSError):
            self.stale_file.remove()

    def close(self) -> None:
        """Write no more."""
        if self.retry:
            self.retry.cancel()
