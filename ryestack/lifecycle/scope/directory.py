"""A Directory that gets the destinations in scope, and settings, from the control machines.

If no machine answers, the relay continues with what it has and reports its age.
"""

import asyncio
import json
import random
from collections.abc import Callable
from math import inf

from ... import interface
from ...control.client import ControlClient
from ...control.messages import Entry, Rejection
from ...control.order import Machine
from ...control.subscription import Identity
from ...observe.log import event
from ...operator.schema import Control
from ...ports import Submission
from ..config import BadConfig
from .destinations import PREFIX, BadEntry, ScopedMembers, read_destination, without_endpoints
from .saver import ScopeSaver

SETTINGS_KEY = "setting/settings"
FIRST_UPDATE_TIMEOUT_S = 0.3  # a start waits this long for the machines' first answer if it has a saved scope
FIRST_SCOPE_TIMEOUT_S = 3.0  # the same without a saved scope
CLEANUP_INTERVAL_S = 1.0  # between checks for destinations without open notifications
SAVE_INTERVAL_S = 60.0  # between copies for the next start, while nothing changes

ReadSettings = Callable[[dict], interface.Settings]
"""Parses the JSON object of settings; raises BadConfig if a relay cannot use them."""
TakeSettings = Callable[[interface.Settings | None, dict], None]
"""Applies settings, given with their JSON object; None: the control machines have none (any more)."""


class ScopeDirectory:
    """A Directory. Call `bind` first, then `initial_list`, `fetch_initial` and `run`, and `close`
    at the end."""

    def __init__(self, control: Control, relay: str, owner, folder: str, max_bytes: int, seed: int) -> None:
        """max_bytes: of the folder that the copy for the next start may take."""
        self.control, self.owner = control, owner
        self.relay = control.name or relay
        self.members = ScopedMembers(owner.clock)
        self.saver = ScopeSaver(folder, control.cluster, self.relay, max_bytes)
        self.saved, self.withheld = self.saver.load(), self.saver.stale_endpoints()
        session = int((owner.clock() + owner.wall) * 1000.0)  # the clock may have been set back
        self.session = max(session, self.saved.session + 1 if self.saved else 0)
        self.client = ControlClient(
            Identity(control.cluster, self.relay, self.session, control.region, control.zone),
            [Machine(machine.name, machine.address, machine.region) for machine in control.machines],
            self._apply,
            self._check,
            hold=control.hold,
            clock=owner.clock,
            rng=random.Random(f"{seed}:{self.relay}:{self.session}"),
            snapshot=self.saved.kept if self.saved else None,
            on_failure=self._trouble,
            on_commit=self._committed,
        )
        self._following: asyncio.Future | None = None
        self._updates: list[interface.ListUpdate] = []  # until the owner runs
        self._publish = self._updates.extend
        self._saved_at = -inf

    def bind(self, read_settings: ReadSettings, take_settings: TakeSettings) -> None:
        """Set the callbacks that parse and apply settings, and apply the saved settings."""
        self._read_settings, self._take_settings = read_settings, take_settings
        for entry in self.saved.kept.entries if self.saved else ():
            if entry.key == SETTINGS_KEY and self._check([entry]) is None:
                self._change_settings(entry)

    def initial_list(
        self, handed: dict | None = None, route_states: dict[str, str] | None = None
    ) -> interface.ListUpdate:
        """The saved scope, including destinations that had left it. It is read from the folder only."""
        if self.saved is None:
            return interface.ListUpdate(whole=True)
        kept = [entry for entry in self.saved.kept.entries if _is_usable(entry)]
        served = {entry.key for entry in kept}
        leaving = [entry for entry in self.saved.leaving if entry.key not in served and _is_usable(entry)]
        kept, leaving = self._without_withheld(kept), self._without_withheld(leaving)
        version = self.saved.kept.version
        self.members.change(kept, [], version)
        self.members.change(leaving, [], version)
        self.members.change([], [entry.key for entry in leaving], version)
        return self.members.apply_list(
            {"index": version, "snapshot": True, "endpoints": list(self.members.rows.values())}
        )

    def _without_withheld(self, entries: list[Entry]) -> list[Entry]:
        """The entries without the endpoints that are withheld: what these would get waits."""
        return [without_endpoints(entry, self.withheld) for entry in entries] if self.withheld else entries

    async def fetch_initial(self) -> list[interface.ListUpdate]:
        """Start following the machines; returns the updates that arrive within the first moments."""
        self.saver.reserve()
        if self.withheld:
            event("control.withheld", endpoints=len(self.withheld), version=self.client.version)
        self._following = asyncio.ensure_future(self.client.run())
        until = self.owner.clock() + (FIRST_UPDATE_TIMEOUT_S if self.saved else FIRST_SCOPE_TIMEOUT_S)
        while self.owner.clock() < until and self.client.age() == inf and not self._following.done():
            await asyncio.sleep(0.01)
        updates, self._updates = self._updates, []
        self._publish = self._updates.extend
        return updates

    async def run(self, publish) -> None:
        """Pass updates to publish(updates) until cancelled."""
        publish(self._updates)
        self._publish = publish
        while True:
            await asyncio.wait([self._following], timeout=CLEANUP_INTERVAL_S)
            if self._following.done():
                self._following.result()
            self._release_withheld()
            self._let_go()
            if self.owner.clock() > self._saved_at + SAVE_INTERVAL_S:
                self._save()

    def export(self) -> None:
        """Nothing: the scope is handed on in the folder."""

    def take_change(self, fields: dict) -> list[interface.ListUpdate]:
        """Nothing: each process follows the machines."""
        return []

    def supersede(self, known: dict) -> None:
        """Nothing: the list of the configuration is not used."""

    def refresh(self) -> None:
        """Nothing to do: the machines are followed all the time."""

    def age(self) -> float:
        """Seconds since the scope was last known to be current, in an earlier process too; inf if never."""
        age = self.client.age()
        if age == inf and self.saved and self.saved.confirmed_at:
            return max(0.0, self.owner.clock() + self.owner.wall - self.saved.confirmed_at)
        return age

    def figures(self) -> dict[str, float]:
        """Figures for the metrics and the summary."""
        rejected = self.client.subscriber.rejected is not None
        return {
            "control_version": self.client.version,
            "control_age_seconds": round(self.age(), 3),
            "control_rejected": int(rejected),
        }

    async def close(self) -> None:
        """Close the connection and save the scope for the next start."""
        if self._following is not None:
            self._following.cancel()
            await asyncio.gather(self._following, return_exceptions=True)
            self._save()
        await self.client.close()

    # -- callbacks of the client --------------------------------------------------------------------

    def _check(self, entries: list[Entry]) -> Rejection | None:
        for entry in entries:
            try:
                if entry.key.startswith(PREFIX):
                    read_destination(entry)
                elif entry.key == SETTINGS_KEY:
                    self._read_settings(_object(entry))
            except (BadEntry, BadConfig) as problem:
                event("control.rejected", key=entry.key, why=str(problem))
                return Rejection(entry.version, entry.key, str(problem))
        return None

    def _apply(self, entries: list[Entry], removed: list[str], version: int) -> None:
        update = self.members.change(entries, removed, version)
        if update.endpoints:
            self._publish([update])
        for entry in entries:
            if entry.key == SETTINGS_KEY:
                self._change_settings(entry)
        if SETTINGS_KEY in removed:
            self._take_settings(None, {})
        event("control.applied", version=version, entries=len(entries), removed=len(removed))

    def _trouble(self, why: str) -> None:
        if why:
            event("control.blocked", why=why)
        else:
            event("control.flowing")

    def _change_settings(self, entry: Entry) -> None:
        document = _object(entry)
        self._take_settings(self._read_settings(document), document)

    # -- clean-up and saving ------------------------------------------------------------------------

    def _let_go(self) -> None:
        if self.members.leaving:
            update = self.members.remove_drained(self._owed())
            if update.endpoints:
                self._publish([update])
                self._save()

    def _owed(self) -> set[int]:
        """Destinations of open notifications, including those that were just handed in."""
        owed = {owed.destination for owed in self.owner.ledger.owed.values() if not owed.notice}
        return owed | {
            each.notification.destination for each in self.owner.queue if isinstance(each, Submission)
        }

    def _committed(self) -> None:
        self._release_withheld()
        self._save()

    def _release_withheld(self) -> None:
        """Use withheld endpoints again, once a machine has confirmed the scope that is in force."""
        if not self.withheld or self.client.age() == inf:
            return
        self.withheld = frozenset()
        usable = [entry for entry in self.client.entries() if _is_usable(entry)]
        update = self.members.change(usable, [], self.client.version)
        if update.endpoints:
            self._publish([update])

    def _save(self) -> None:
        if self.withheld:  # the folder tells what of the saved scope is out of date
            return
        age, now = self.age(), self.owner.clock() + self.owner.wall
        confirmed_at = now - age if age < inf else 0.0
        holdings = self.client.subscriber.holdings.snapshot()
        self.saver.save(self.session, confirmed_at, holdings, self.members.leaving_entries())
        self._saved_at = -inf if self.saver.needs_retry else self.owner.clock()


def _object(entry: Entry) -> dict:
    """The JSON object of an entry. Raises BadEntry."""
    try:
        document = json.loads(entry.value)
    except (ValueError, RecursionError) as problem:
        raise BadEntry(f"not JSON: {problem}") from None
    if not isinstance(document, dict):
        raise BadEntry(f"is a JSON {type(document).__name__}, must be an object")
    return document


def _is_usable(entry: Entry) -> bool:
    """Whether it is a destination's entry that this version can read: another version may have written it."""
    try:
        return entry.key.startswith(PREFIX) and bool(read_destination(entry) or True)
    except BadEntry:
        return False
