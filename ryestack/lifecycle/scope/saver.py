"""Saves the scope in force in the relay's folder, for the processes after this one."""

from contextlib import suppress

from ...control.holdings import HoldingsSnapshot
from ...control.messages import Entry
from ...membership.stale_rows import ALL_STALE, ListId, StaleRows, stale_names
from ...observe.log import event
from ...store import scope_file
from ...store.scope_file import SavedScope, ScopeTooLarge
from ...store.stale_file import SCOPE_NAME, StaleFile
from .destinations import endpoint_rows


class ScopeSaver:
    """Saves each version of the scope before it is acknowledged.

    Where it cannot be saved, the folder is told which endpoints of the scope there are out of date. saved:
    the scope that the processes before this one left, None if there is none; stale: what the folder tells of
    it; needs_retry: whether a later attempt may save the same scope.
    """

    def __init__(self, folder: str, cluster: str, relay: str, max_bytes: int) -> None:
        """max_bytes: for the file and its replacement together."""
        self.folder, self.cluster, self.relay, self.max_bytes = folder, cluster, relay, max_bytes
        self.stale_file = StaleFile(folder, SCOPE_NAME)
        self.saved: SavedScope | None = None
        self.stale: StaleRows | None = None
        self.needs_retry = self._is_unsaved = False

    def load(self) -> SavedScope | None:
        """The scope that the processes before this one left; None if there is none that can be read."""
        self.saved, self.stale = self._read(), self.stale_file.load()
        if self.saved and self.saved.guarded and not self.stale_file.exists():
            self.stale = ALL_STALE  # the file was removed, as it could not be written
        return self.saved

    def stale_endpoints(self) -> frozenset[str]:
        """The endpoints of the loaded scope that may be out of date."""
        if self.saved is None or self.stale is None:
            return frozenset()
        names = endpoint_rows(_entries(self.saved).values())
        return self.stale.among(self._version(self.saved.kept), names)

    def reserve(self) -> None:
        """Give the file of what is out of date its room, so that it can be written on a full disk."""
        if self.stale is not None and not self.stale_file.exists():
            return  # its absence tells that all may be out of date
        with suppress(OSError):
            self.stale_file.reserve()

    def save(self, session: int, confirmed_at: float, kept: HoldingsSnapshot, leaving: list[Entry]) -> None:
        """Save that scope, unless a later process has saved one.

        session, confirmed_at, kept, leaving: as of SavedScope.
        """
        existing = self._read()
        if existing is not None and existing.session > session:
            self.needs_retry = False
            return
        if not self.stale_file.exists():
            with suppress(OSError):
                self.stale_file.reserve(ALL_STALE)
        head = scope_file.FORMAT, self.cluster, self.relay, session
        scope = SavedScope(*head, confirmed_at, kept, leaving, guarded=self.stale_file.exists())
        try:
            scope_file.save(self.folder, scope, self.max_bytes)
            self._clear_stale(kept)
            self.needs_retry = self._is_unsaved = False
        except OSError as problem:
            if not self._is_unsaved:
                event("control.unsaved", why=str(problem), most=self.max_bytes)
            self._is_unsaved = True
            self.needs_retry = not isinstance(problem, ScopeTooLarge)
            self._mark_stale(existing, scope)

    def _read(self) -> SavedScope | None:
        return scope_file.load(self.folder, self.cluster, self.relay)

    def _version(self, kept: HoldingsSnapshot) -> ListId:
        return ListId(self.cluster, 0, kept.version)

    def _is_superseded(self, version: ListId) -> bool:
        """Whether a later version, of this process's successor or predecessor, could not be saved."""
        stale = self.stale_file.load()
        return stale is not None and stale.current[:2] == version[:2] and stale.current > version

    def _clear_stale(self, kept: HoldingsSnapshot) -> None:
        """Tell that nothing of the saved scope is out of date; raises OSError."""
        if not self._is_superseded(self._version(kept)):
            self.stale_file.clear()

    def _mark_stale(self, existing: SavedScope | None, scope: SavedScope) -> None:
        """Tell later starts which endpoints of the saved scope are out of date.

        Where that cannot be written, the file goes, which tells that all may be.
        """
        version = self._version(scope.kept)
        if self._is_superseded(version):
            return
        stale = StaleRows(ALL_STALE.base, version, frozenset())
        if existing is not None:
            stale = StaleRows(self._version(existing.kept), version, _stale_endpoints(existing, scope))
        try:
            self.stale_file.mark(stale)
            event("control.stale", endpoints=len(stale.names), version=version.version)
        except OSError:
            with suppress(OSError):
                self.stale_file.remove()


def _entries(scope: SavedScope) -> dict[str, Entry]:
    """The entries that a process with that scope goes by, by their keys."""
    return {entry.key: entry for entry in (*scope.leaving, *scope.kept.entries)}


def _stale_endpoints(saved: SavedScope, current: SavedScope) -> frozenset[int]:
    """Checksums of the endpoints by which a message would go where the current scope does not send it."""
    before, now = _entries(saved), _entries(current)
    changed = [key for key, entry in before.items() if key not in now or now[key].value != entry.value]
    current_rows = endpoint_rows(now[key] for key in changed if key in now)
    return stale_names(endpoint_rows(before[key] for key in changed), current_rows)
