"""The control machines as a relay's Directory: destinations in scope, and settings beside them.

Without an answer from any machine the relay goes on with what it has, and says how old that is.
"""

import asyncio
import json
import random
from collections.abc import Callable
from math import inf

from ... import interface as it
from ...control.client import ControlClient
from ...control.messages import Entry, Rejection
from ...control.order import Machine
from ...control.subscription import Identity
from ...observe.log import event
from ...operator.schema import Control
from ...ports import HandIn
from ...store import scope_file
from ...store.scope_file import SavedScope
from ..config import BadConfig
from .destinations import PREFIX, BadEntry, ScopedMembers, read_destination

SETTINGS_KEY = "setting/settings"
FIRST_SECONDS = 0.3  # that a start waits for the machines' first word; what was kept serves meanwhile
FIRST_SCOPE_SECONDS = 3.0  # the same where nothing was kept
LOOK_SECONDS = 1.0  # between looks for destinations of which nothing is owed any more
SAVE_SECONDS = 60.0  # between copies for the next start, while nothing changes

ReadSettings = Callable[[dict], it.Settings]
"""The settings of their JSON object; raises BadConfig where a relay can't use them."""
TakeSettings = Callable[[it.Settings | None, dict], None]
"""Put settings in force, from their JSON object; None: the control tier has none (any more)."""


class ScopeDirectory:
    """A Directory; `bind` comes before all else, then `known`, `fresh` and `run`, and `close` at the end."""

    def __init__(self, control: Control, relay: str, owner, folder: str, most: int, seed: int) -> None:
        """most: bytes of the folder that the copy for the next start may take."""
        self.control, self.owner, self.folder, self.most = control, owner, folder, most
        self.relay = control.name or relay
        self.members = ScopedMembers(owner.clock)
        self.saved = scope_file.load(folder, control.cluster, self.relay)
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
        )
        self._following: asyncio.Future | None = None
        self._updates: list[it.ListUpdate] = []  # until the owner runs
        self._tell = self._updates.extend
        self._saved_at, self._is_saved = -inf, True

    def bind(self, read_settings: ReadSettings, take_settings: TakeSettings) -> None:
        """Tells who reads and takes settings, and gives them those of the life before."""
        self._read_settings, self._take_settings = read_settings, take_settings
        for entry in self.saved.kept.entries if self.saved else ():
            if entry.key == SETTINGS_KEY and self._check([entry]) is None:
                self._change_settings(entry)

    def known(self) -> it.ListUpdate:
        """What the life before had in force, also of destinations that had left its scope."""
        if self.saved is None:
            return it.ListUpdate(whole=True)
        kept = [entry for entry in self.saved.kept.entries if _is_usable(entry)]
        served = {entry.key for entry in kept}
        leaving = [entry for entry in self.saved.leaving if entry.key not in served and _is_usable(entry)]
        version = self.saved.kept.version
        self.members.change(leaving, [], version)
        self.members.change(kept, [entry.key for entry in leaving], version)
        return self.members.learn(
            {"index": version, "snapshot": True, "endpoints": list(self.members.rows.values())}
        )

    async def fresh(self) -> list[it.ListUpdate]:
        """What the machines say at once; their answers are followed from here on."""
        self._following = asyncio.ensure_future(self.client.run())
        until = self.owner.clock() + (FIRST_SECONDS if self.saved else FIRST_SCOPE_SECONDS)
        while self.owner.clock() < until and self.client.age() == inf and not self._following.done():
            await asyncio.sleep(0.01)
        updates, self._updates = self._updates, []
        self._tell = self._updates.extend
        return updates

    async def run(self, tell) -> None:
        tell(self._updates)
        self._tell = tell
        while True:
            await asyncio.wait([self._following], timeout=LOOK_SECONDS)
            if self._following.done():
                self._following.result()
            self._let_go()
            if self.owner.clock() > self._saved_at + SAVE_SECONDS:
                self._save()

    def ask(self) -> None:
        """The machines are followed all the time."""

    def age(self) -> float:
        """Seconds since what is in force was known to be the newest, in the life before too; inf if never."""
        age = self.client.age()
        if age == inf and self.saved and self.saved.confirmed_at:
            return max(0.0, self.owner.clock() + self.owner.wall - self.saved.confirmed_at)
        return age

    def figures(self) -> dict[str, float]:
        """For the second address and the summary."""
        rejected = self.client.subscriber.rejected is not None
        return {
            "control_version": self.client.version,
            "control_age_seconds": round(self.age(), 3),
            "control_rejected": int(rejected),
        }

    async def close(self) -> None:
        """Give the connection up; what is in force is kept for the next start."""
        if self._following is not None:
            self._following.cancel()
            await asyncio.gather(self._following, return_exceptions=True)
            self._save()
        await self.client.close()

    # -- what the client tells ----------------------------------------------------------------------

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
            self._tell([update])
        for entry in entries:
            if entry.key == SETTINGS_KEY:
                self._change_settings(entry)
        if SETTINGS_KEY in removed:
            self._take_settings(None, {})
        event("control.applied", version=version, entries=len(entries), removed=len(removed))
        self._saved_at = -inf  # the holdings have it only once this returns

    def _trouble(self, why: str) -> None:
        if why:
            event("control.blocked", why=why)
        else:
            event("control.flowing")

    def _change_settings(self, entry: Entry) -> None:
        told = _object(entry)
        self._take_settings(self._read_settings(told), told)

    # -- what stays ---------------------------------------------------------------------------------

    def _let_go(self) -> None:
        if self.members.leaving:
            update = self.members.let_go(self._owed())
            if update.endpoints:
                self._tell([update])
                self._save()

    def _owed(self) -> set[int]:
        """Destinations of which something is to be delivered, or was just handed in."""
        owed = {owed.dest for owed in self.owner.ledger.owed.values() if not owed.notice}
        return owed | {each.ntf.destination for each in self.owner.queue if isinstance(each, HandIn)}

    def _save(self) -> None:
        age, now = self.age(), self.owner.clock() + self.owner.wall
        leaving = [entry for _, entry in self.members.leaving.values()]
        head = scope_file.FORMAT, self.control.cluster, self.relay, self.session
        confirmed_at = now - age if age < inf else 0.0
        saved = SavedScope(*head, confirmed_at, self.client.subscriber.holdings.snapshot(), leaving)
        there = scope_file.load(self.folder, self.control.cluster, self.relay)
        if there is not None and there.session > self.session:
            return  # of the process after this one
        is_saved = scope_file.save(self.folder, saved, self.most)
        if self._is_saved and not is_saved:
            event("control.unsaved", most=self.most)
        self._saved_at, self._is_saved = self.owner.clock(), is_saved


def _object(entry: Entry) -> dict:
    """The JSON object of an entry. Raises BadEntry."""
    try:
        told = json.loads(entry.value)
    except (ValueError, RecursionError) as problem:
        raise BadEntry(f"not JSON: {problem}") from None
    if not isinstance(told, dict):
        raise BadEntry("no JSON object")
    return told


def _is_usable(entry: Entry) -> bool:
    """Whether it is a destination's that this program can read: another release may have written it."""
    try:
        return entry.key.startswith(PREFIX) and bool(read_destination(entry) or True)
    except BadEntry:
        return False
