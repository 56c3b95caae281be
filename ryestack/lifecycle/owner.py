"""The single task that owns the decision module. Everything else reaches it through its queue.

Events that are queued together are handled in one round. The actions that the module returns are carried out
in the order that the guarantees need: journal first, then the answer to the client, then the call.
"""

import asyncio
from collections import Counter, defaultdict
from dataclasses import replace
from functools import partial

from .. import interface
from ..brain import NEVER_RAN
from ..interface import Result
from ..observe.log import event, is_debug_enabled
from ..ports import Directory, Dispatcher, NoticeSink, Submission
from ..store.ledger import Ledger
from .admission import Admission
from .ending import Ending
from .pushing import Pushing
from .recovery import Paused, Recovery
from .replication.unreplicated import Unreplicated
from .upgrade.siblings import RemoteEvent, Siblings
from .watched import Watched

HELD_UP_S = 0.1  # by which a timer fires late, before that is logged


class Owner(Admission, Pushing, Ending, Recovery):
    """Runs the decision module in rounds and carries out its actions.

    clock: returns the event loop's time in seconds; wall: the offset to the journal's timeline.
    """

    def __init__(self, settings: interface.Settings, seed: int, ledger: Ledger, clock, wall: float):
        super().__init__()
        self.settings, self.ledger, self.clock = settings, ledger, clock
        self.wall = wall  # added to the clock, it gives times on the journal's timeline
        self.brain = Watched(settings, seed)
        self.brain.on_key_claim = partial(self.notify_siblings, "turn")
        self.failing_changed = asyncio.Event()
        self.brain.on_failing_changed = self.failing_changed.set
        self.queue, self.filled = [], asyncio.Event()
        # Set by the assembly before the first round.
        self.dispatcher: Dispatcher = None
        self.notices: NoticeSink = None
        self.directory: Directory = None
        self.replication = Unreplicated()
        self.drained = False  # drained by an operator: no new notifications are accepted
        self.counts = Counter()
        self.retries: Counter[str] = Counter()  # retried pushes by the result of the previous push
        self.ended: Counter[tuple[str, str]] = Counter()  # by topic type and result
        self.held_up_count, self.held_up_seconds = 0, 0.0  # of timers that fired late
        # Submissions of the current round, not in the journal yet.
        self.new_hand_ins: dict[str, Submission] = {}

    # -- the queue --------------------------------------------------------------------------------

    def put(self, events) -> None:
        """Queue events for the next round."""
        self.queue.extend(events)
        self.filled.set()

    def retune(self, settings: interface.Settings) -> None:
        """Change the settings between rounds; the module gets them before all later events."""
        self.settings = settings
        self.put([interface.SettingsChanged(settings)])

    def withdraw(self, name: str) -> None:
        """Queue the withdrawal of a notification."""
        self.put([interface.Withdrawn(name)])

    def notices_delivered(self, names: list[str]) -> None:
        """The platform has received the notices of these notifications."""
        for name in names:
            self.finish(name)

    def finish(self, name: str) -> None:
        """Record that nothing is owed of the notification any more."""
        if owed := self.ledger.owed.get(name):
            if owed.pushes:
                self.recent_ends.add(name)
            else:
                self.release_claim(name)
            self.ledger.finish(name)
            self.replication.finish(owed)

    def pause(self, names: set[str]) -> None:
        """Remove notifications from the module and cancel their pushes; they stay owed meanwhile."""
        in_flight = [(name, push) for name, push in self.brain.in_flight if name in names]
        self.put([Paused(name) for name in names])
        for name, push in in_flight:
            self.dispatcher.cancel(name, push)

    async def run(self) -> None:
        """Run rounds until cancelled, one per quantum at most."""
        while True:
            await self.filled.wait()
            await self.read_sockets()
            self.filled.clear()
            self.round(self.take_queue())
            await asyncio.sleep(self.settings.quantum)

    async def read_sockets(self) -> None:
        """Let the loop read what has come by now: after a hold-up a wait or a drain may lie in a socket.

        The loop polls before its next iteration, and runs the readers behind what was ready before.
        """
        await asyncio.sleep(0)
        await asyncio.sleep(0)

    def take_queue(self) -> list:
        """Remove and return all queued events."""
        events, self.queue = self.queue, []
        return events

    # -- one round --------------------------------------------------------------------------------

    def round(self, events: list) -> None:
        """Give events to the module and carry out its actions."""
        self.new_hand_ins = {}
        inputs = [
            each
            for each in (self.HANDLERS.get(type(queued), _unchanged)(self, queued) for queued in events)
            if each
        ]
        actions, now = defaultdict(list), self.clock()
        self.decided_at = now
        for checked in inputs:
            self.invariants.observe(checked, now)
        for action in self.brain.round(now, inputs):
            actions[type(action)].append(action)
        for action in actions[interface.Throttle] + actions[interface.Expire]:
            self.end(action)
        for message in self.new_hand_ins.values():
            self.take(message)
        for action in actions[interface.Cancel]:
            self.dispatcher.cancel(action.id, action.push)
        for action in actions[interface.CancelUnsent]:
            self.dispatcher.cancel_unsent(action.endpoint)
        self.push(actions[interface.Push])
        for action in actions[interface.CloseIdleConnections]:
            self.dispatcher.close_idle(action.endpoint)
        if any(isinstance(each, interface.ListUpdate) for each in inputs):
            self.dispatcher.drop_removed_endpoints()
        for _ in actions[interface.AskForList]:
            self.directory.refresh()
        for action in actions[interface.SetTimer]:
            loop = asyncio.get_running_loop()
            loop.call_later(action.after, self.timer_fired, loop.time() + action.after)

    def timer_fired(self, due: float) -> None:
        """Queue a timer of the module. due: a time of the loop's clock; much later, the loop stood still."""
        late = asyncio.get_running_loop().time() - due
        if late > HELD_UP_S:
            self.held_up_count += 1
            self.held_up_seconds += late
            event("loop.held_up", seconds=round(late, 3))
        self.put([interface.TimerFired()])

    def handle_outcome(self, outcome: interface.Outcome):
        """Record the end of a push; returns it for the module."""
        self.invariants.ended(outcome.id, outcome.push)
        self.notify_ended(outcome)
        owed = self.ledger.owed.get(outcome.id)
        if owed and outcome.result in NEVER_RAN and outcome.push >= owed.pushes:  # it could not be recorded
            outcome = replace(outcome, attempted=False)
        if not outcome.attempted:
            return outcome
        self.counts[outcome.result.value] += 1
        if is_debug_enabled():
            facts = {name: round(getattr(outcome, name), 3) for name in ("elapsed", "wait", "limit")}
            facts["left"] = round(outcome.limit_left, 3)
            event(
                "push.ended",
                id=outcome.id,
                push=outcome.push,
                route=outcome.endpoint,
                result=outcome.result.value,
                **facts,
            )
        if outcome.result is Result.DELIVERED or outcome.ended:
            if outcome.result is Result.DELIVERED and outcome.id in self.ledger.owed:
                self.ended[self.ledger.owed[outcome.id].topic_type, "delivered"] += 1
            self.finish(outcome.id)
        else:
            self.ledger.outcome(outcome.id, outcome.push, outcome.result in NEVER_RAN)
            if owed := self.ledger.owed.get(outcome.id):
                owed.last_result = outcome.result.value
                self.replication.push_ended(owed, outcome.push, outcome.result in NEVER_RAN)
        return outcome

    def handle_withdrawn(self, event: interface.Withdrawn):
        """Record that a withdrawn notification is not owed; returns the event for the module."""
        self.finish(event.id)
        return event

    def handle_paused(self, event: Paused):
        """A pause is a withdrawal to the module, while the notification stays in the ledger."""
        return interface.Withdrawn(event.id)

    def in_progress(self) -> int:
        """The number of notifications that have not ended."""
        return sum(not owed.notice for owed in self.ledger.owed.values())

    def settled(self) -> bool:
        """Whether no event is queued and nothing is owed."""
        return not self.queue and not self.ledger.owed and self.ledger.idle

    HANDLERS = {
        Submission: Admission.handle_hand_in,
        interface.Outcome: handle_outcome,
        interface.WaitRequested: Siblings.handle_wait_told,
        RemoteEvent: Siblings.handle_remote_event,
        interface.Withdrawn: handle_withdrawn,
        Paused: handle_paused,
    }


def _unchanged(_, event):
    return event
