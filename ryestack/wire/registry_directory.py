"""The directory of a relay: the list in force, where it comes from, and the versions that it goes through.

At a start it goes by the newest list at hand: the configuration's, that of the folder, or that of the process
before. Each version after that is reported to `on_change`, to be saved and sent to the other process of an
upgrade before anything is decided by it.
"""

import asyncio
import json
from collections.abc import Callable
from dataclasses import replace
from math import inf

from .. import interface
from ..membership.following import WatchState
from ..membership.list_versions import (
    InitialList,
    KnownList,
    ListChange,
    Source,
    identity,
    is_newer,
    known_list,
    read_change,
    remembered_identities,
)
from ..membership.stale_rows import ListId, StaleRows, choose_initial
from ..observe.log import event
from .list_request import REQUEST_ERRORS
from .members import INVALID_VALUE_ERRORS, BadList, Members, read_version
from .platform import PlatformClient
from .registry_watch import RegistryWatch
from .sockets import shows_process_ended

INITIAL_FETCH_TIMEOUT_S = 0.3  # at a start: an agent on the same machine answers at once, or is down
CONFIRM_INTERVAL_S = 2.0  # between reports that the list is confirmed, while it does not change


class RegistryDirectory:
    """A Directory that follows the list of the platform's registry.

    known: the list of the configuration; saved: that of the folder; stale: which rows of it are out of date.
    on_change(ListChange): called for each version. registry: the address that the list in force came from;
    confirmed_at: when it was last confirmed, a time of the machine's monotonic clock. configured: identities
    of the configured lists that it supersedes; configured_list: that of this start. generation: as of
    ListChange. source: where the list in force came from. withheld: endpoints that get nothing new until the
    whole list is told. reported_at: when on_change was called last.
    """

    def __init__(
        self,
        platform: PlatformClient,
        known: dict,
        saved: KnownList | None = None,
        on_change: Callable[[ListChange], None] = lambda change: None,
        stale: StaleRows | None = None,
    ):
        self.platform, self.members, self.on_change = platform, Members(), on_change
        self.clock = asyncio.get_running_loop().time
        self.initial_update = self.members.apply_list(known)
        self.saved, self.stale, self.configured = saved, stale, (identity(known),)
        self.registry, self.confirmed_at = platform.address, self.clock()
        self.generation, self.reported_at = 0, -inf
        self.source, self.withheld = Source.CONFIGURATION, frozenset()
        self.configured_list: KnownList | None = None
        self.registry_ended = False  # as the request at the start has shown

    # -- the start ----------------------------------------------------------------------------------

    def initial_list(
        self, handed: dict | None = None, route_states: dict[str, str] | None = None
    ) -> interface.ListUpdate:
        rows = {name: self.members.rows[name] for name in self.members.listed_names()}
        known = KnownList(self.registry, self.members.index, rows, self.confirmed_at, self.configured)
        self.configured_list = known
        initial = choose_initial(known, self.saved, self._read_handed(handed), route_states, self.stale)
        if initial.source is not Source.CONFIGURATION:
            self._replace_list(initial)
        self.source, self.withheld = initial.source, initial.withheld
        age = self.clock() - self.confirmed_at
        event(
            "list.initial",
            source=self.source.value,
            version=self.members.index,
            registry=self.registry,
            age=round(age, 1) if age < inf else "unknown",
            endpoints=len(self.members.rows),
            withheld=len(self.withheld),
        )
        return self._without_withheld(self.initial_update)

    def _read_handed(self, handed: dict | None) -> KnownList | None:
        if handed is None:
            return None
        try:
            return known_list(read_change(handed))
        except INVALID_VALUE_ERRORS as problem:
            event("line.broken", why=f"the predecessor's list is invalid: {problem!r}")
            return None

    def _replace_list(self, initial: InitialList) -> None:
        """Go by another list than the configuration's. Unreadable rows are skipped, as in an answer."""
        self.members.clear()
        rows = list(initial.known.rows.values())
        message = {"index": initial.known.version, "snapshot": True, "endpoints": rows}
        self.initial_update = self.members.apply_list(message)
        self.registry, self.confirmed_at = initial.known.registry, initial.known.confirmed_at
        self.configured = initial.known.configured
        self.generation = initial.known.generation

    def _without_withheld(self, update: interface.ListUpdate) -> interface.ListUpdate:
        endpoints = tuple(
            replace(each, status=interface.EndpointStatus.DRAINING) if each.id in self.withheld else each
            for each in update.endpoints
        )
        return replace(update, endpoints=endpoints)

    def asks_for_whole_list(self) -> bool:
        """Whether the version in force is no base for changes: other address, or endpoints in doubt."""
        in_doubt = self.withheld or self.members.displaced
        return bool(in_doubt) or self.registry != self.platform.address

    async def fetch_initial(self) -> list[interface.ListUpdate]:
        """The registry's current list, if it answers at once: it is in force before the first push."""
        requested_at, address = self.clock(), self.platform.address
        whole = self.asks_for_whole_list()
        query = {} if whole else {"from": str(self.members.index), "hold_ms": "0"}
        try:
            status, body = await self.platform.request(
                "GET", "/catalog/members", INITIAL_FETCH_TIMEOUT_S, params=query
            )
            message = json.loads(body)
            version, complete = read_version(message)
            believed = complete if whole else version >= self.members.index
            if status != 200 or not believed:  # the watch asks again before it believes that
                return []
            return [self.take_answer(message, requested_at, address)]
        except REQUEST_ERRORS as error:
            self.registry_ended = shows_process_ended(error)
            if self.source is Source.CONFIGURATION:  # of unknown age: its time runs from this start
                return []
            return [interface.ListUpdate(failed=True, confirmed_at=self.confirmed_at)]

    # -- from then on -------------------------------------------------------------------------------

    async def run(self, publish) -> None:
        watch = RegistryWatch(
            self.platform,
            self.members,
            lambda update: publish([update]),
            self.take_answer,
            self.registry,
            WatchState(self.confirmed_at, "doubtful" if self.withheld or self.registry_ended else "unsure"),
        )
        await watch.run()

    def refresh(self) -> None:
        self.platform.refresh_requested.set()

    def take_answer(self, message: dict, requested_at: float, registry: str) -> interface.ListUpdate:
        """Put an answer of the registry in force; raises BadList."""
        before, rows_before = self.members.index, dict(self.members.rows)
        update = self.members.apply_list(message)
        has_base = registry == self.registry and self.members.index >= before and not self.withheld
        self.generation += registry != self.registry or self.members.index < before
        self.registry, self.confirmed_at = registry, max(self.confirmed_at, requested_at)
        is_first = self.source is not Source.REGISTRY
        self.source = Source.REGISTRY
        if update.whole:
            self.withheld = frozenset()
        told = self.members.rows if update.whole else [each.id for each in update.endpoints]
        rows = ((name, self.members.rows[name]) for name in told)
        changed = tuple(row for name, row in rows if rows_before.get(name) != row)
        if not has_base:
            self._report(self.current())
        elif changed or is_first or self.members.index != before or self._confirmation_is_due():
            self._report(self._change(changed, before))
        return update

    def _confirmation_is_due(self) -> bool:
        return self.clock() >= self.reported_at + CONFIRM_INTERVAL_S

    def _report(self, change: ListChange) -> None:
        self.reported_at = self.clock()
        self.on_change(change)

    def current(self) -> ListChange:
        """The whole list in force."""
        return self._change(tuple(self.members.rows[name] for name in self.members.listed_names()), None)

    def _change(self, rows: tuple[dict, ...], since: int | None) -> ListChange:
        facts = self.configured, self.generation
        return ListChange(self.registry, self.members.index, rows, self.confirmed_at, since, *facts)

    def export(self) -> dict | None:
        """The whole list to save and hand on; None while endpoints are withheld, since it may be old."""
        return None if self.withheld else self.current().as_fields()

    def version(self) -> ListId:
        """The version in force."""
        return ListId(self.registry, self.generation, self.members.index)

    def supersede(self, known: dict) -> None:
        """A configuration with that list was read, and the list in force stays. Unless that one is newer by
        its number, no later start goes by it."""
        version, _ = read_version(known)
        is_comparable = self.registry == self.platform.address and not self.generation
        if is_comparable and version > self.members.index:
            return
        self.configured = remembered_identities(self.configured, (identity(known),))
        if not self.withheld:
            self._report(self._change((), self.members.index))

    def take_change(self, fields: dict) -> list[interface.ListUpdate]:
        """Put a change that the other process of an upgrade was told in force, unless it is known or has a
        gap; raises TypeError, ValueError or KeyError if it is invalid."""
        change = read_change(fields)
        in_force = KnownList(
            self.registry, self.members.index, {}, self.confirmed_at, self.configured, self.generation
        )
        has_base = change.registry == self.registry and not (self.withheld and change.since is not None)
        if not has_base or not is_newer(change, in_force):
            return []
        message = {
            "index": change.version,
            "snapshot": change.since is None,
            "endpoints": list(change.rows),
        }
        try:
            update = self.members.apply_list(message)
        except BadList as problem:
            raise ValueError(str(problem)) from None
        self.generation, self.confirmed_at = change.generation, max(self.confirmed_at, change.confirmed_at)
        self.configured = remembered_identities(self.configured, change.configured)
        if update.whole:
            self.withheld = frozenset()
        return [update] if update.endpoints or update.whole else []

    def figures(self) -> dict[str, float]:
        """Figures for the metrics."""
        age = self.clock() - self.confirmed_at
        return {
            "list_version": self.members.index,
            "list_checksum": self.members.checksum(),
            "list_age_seconds": round(age, 3) if age < inf else "+Inf",
            "list_told": int(self.source is Source.REGISTRY),
            "list_withheld_endpoints": len(self.withheld),
        }
