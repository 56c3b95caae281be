"""The one task that owns the decisions. All else reaches it through its queue.

Events that wait together go in one round; what the module asks for is done in the order that keeps the
promises: journal first, then the answer to the client, then the call.
"""

import asyncio
from collections import Counter, defaultdict
from functools import partial

from .. import interface
from ..brain import NEVER_RAN
from ..interface import Result
from ..observe.log import detailed, event
from ..ports import Directory, Dispatcher, HandIn, NoticeSink
from ..store.ledger import Ledger
from .admission import Admission
from .ending import Ending
from .pushing import Pushing
from .recovery import Paused, Recovery
from .replication.unreplicated import Unreplicated
from .upgrade.siblings import RemoteEvent, Siblings
from .watched import Watched


class Owner(Admission, Pushing, Ending, Recovery):
    def __init__(self, settings: interface.Settings, seed: int, ledger: Ledger, clock, wall: float):
        super().__init__()
        self.settings, self.ledger, self.clock = settings, ledger, clock
        self.wall = wall  # added to the clock, it gives times of the journal's timeline
        self.brain = Watched(settings, seed)
        self.brain.told_turn = partial(self.tell_siblings, "turn")
        self.failing_changed = asyncio.Event()
        self.brain.told_failing = self.failing_changed.set
        self.queue, self.filled = [], asyncio.Event()
        # These three are set once they can be built, before the first round.
        self.dispatcher: Dispatcher = None
        self.notices: NoticeSink = None
        self.directory: Directory = None
        self.replication = Unreplicated()
        self.emptied = False  # drained by staff: nothing new is taken
        self.counts = Counter()
        self.retries: Counter[str] = Counter()  # pushes again, by how the one before ended
        self.ended: Counter[tuple[str, str]] = Counter()  # by topic type and how it ended
        self.fresh: dict[str, HandIn] = {}

    # -- the queue --------------------------------------------------------------------------------

    def put(self, events) -> None:
        self.queue.extend(events)
        self.filled.set()

    def hand_in(self, message: HandIn) -> None:
        self.put([message])

    def retune(self, settings: interface.Settings) -> None:
        """Between rounds; the module hears of it before all that comes after."""
        self.settings = settings
        self.put([interface.Retuned(settings)])

    def withdraw(self, name: str) -> None:
        self.put([interface.Withdrawn(name)])

    def told_platform(self, names: list[str]) -> None:
        for name in names:
            self.over(name)

    def over(self, name: str) -> None:
        """Nothing is owed of it any more."""
        if owed := self.ledger.owed.get(name):
            self.ledger.finish(name)
            self.replication.over(owed)

    def pause(self, names: set[str]) -> None:
        """They stay owed, but may not be acted on: out of the module, and what is out is closed."""
        out = [(name, push) for name, push in self.brain.out if name in names]
        self.put([Paused(name) for name in names])
        for name, push in out:
            self.dispatcher.cancel(name, push)

    async def run(self) -> None:
        while True:
            await self.filled.wait()
            self.filled.clear()
            self.round(self.take_queue())
            await asyncio.sleep(self.settings.quantum)

    def take_queue(self) -> list:
        events, self.queue = self.queue, []
        return events

    # -- one round --------------------------------------------------------------------------------

    def round(self, events: list) -> None:
        self.fresh = {}
        heard = [h for h in (self.BEFORE.get(type(e), _as_is)(self, e) for e in events) if h]
        asked, now = defaultdict(list), self.clock()
        for told in heard:
            self.invariants.hear(told, now)
        for action in self.brain.round(now, heard):
            asked[type(action)].append(action)
        for action in asked[interface.Throttle] + asked[interface.Expire]:
            self.end(action)
        for message in self.fresh.values():
            self.take(message)
        for action in asked[interface.Cancel]:
            self.dispatcher.cancel(action.id, action.push)
        for action in asked[interface.CallOff]:
            self.dispatcher.cancel_unsent(action.endpoint)
        self.push(asked[interface.Push])
        for action in asked[interface.HangUp]:
            self.dispatcher.close_idle(action.endpoint)
        if any(isinstance(h, interface.ListUpdate) for h in heard):
            self.dispatcher.forget()
        for _ in asked[interface.AskForList]:
            self.directory.ask()
        for action in asked[interface.Wake]:
            asyncio.get_running_loop().call_later(action.after, self.put, [interface.Woken()])

    def before_outcome(self, o: interface.Outcome):
        if not o.made:
            return o
        self.invariants.ended(o.id, o.push)
        self.tell_ended(o)
        self.counts[o.result.value] += 1
        if detailed():
            facts = {name: round(getattr(o, name), 3) for name in ("elapsed", "wait", "limit", "left")}
            event("push.ended", id=o.id, push=o.push, route=o.endpoint, result=o.result.value, **facts)
        if o.result is Result.DELIVERED or o.ended:
            if o.result is Result.DELIVERED and o.id in self.ledger.owed:
                self.ended[self.ledger.owed[o.id].topic, "delivered"] += 1
            self.over(o.id)
        else:
            self.ledger.outcome(o.id, o.push, o.result in NEVER_RAN)
            if owed := self.ledger.owed.get(o.id):
                owed.last_result = o.result.value
                self.replication.ended(owed, o.push, o.result in NEVER_RAN)
        return o

    def before_withdrawn(self, event: interface.Withdrawn):
        self.over(event.id)
        return event

    def before_paused(self, event: Paused):
        return interface.Withdrawn(event.id)

    def in_progress(self) -> int:
        return sum(not owed.notice for owed in self.ledger.owed.values())

    def settled(self) -> bool:
        return not self.queue and not self.ledger.owed

    BEFORE = {
        HandIn: Admission.before_hand_in,
        interface.Outcome: before_outcome,
        interface.WaitTold: Siblings.before_wait,
        RemoteEvent: Siblings.before_remote_event,
        interface.Withdrawn: before_withdrawn,
        Paused: before_paused,
    }


def _as_is(_, event):
    return event
