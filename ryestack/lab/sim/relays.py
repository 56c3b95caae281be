"""One relay in the world: the owner's loop round a policy, slots, hold, restarts.

It does what `lifecycle/owner.py` does on sockets, in the same order: ends, takes, cancels, pushes. What it
owes is kept as the ledger keeps it: a push without an outcome counts as one that may have run.
"""

from math import inf
from time import perf_counter

from ... import interface
from ...brain import NEVER_RAN
from ...interface import Result

WOKEN = interface.TimerFired()
MAY_STILL_RUN = {Result.TIMED_OUT, Result.BROKEN, Result.CANCELLED}
LEAVING, DOOR = 3.2, 0.45  # seconds from the word to leave to the end, and until no more is taken


class Hand:
    """One hand-in of a wish."""

    __slots__ = (
        "counted", "due", "end", "id", "maybe_at", "open", "order", "pushes", "relay", "runs", "topic",
        "wish",
    )  # fmt: skip

    def __init__(self, name: str, wish: int, topic: int, due: float, order: str):
        self.id, self.wish, self.topic, self.due, self.order = name, wish, topic, due, order
        self.pushes, self.maybe_at, self.open = 0, inf, {}  # open: push -> when it went
        self.end, self.runs, self.counted, self.relay = "", 0, -1.0, None

    def first_maybe(self) -> float:
        return min([self.maybe_at, *self.open.values()])


class Relay:
    def __init__(self, world, number: int, building: int, settings: interface.Settings, policy, seed: int):
        self.world, self.number, self.building = world, number, building
        self.settings, self.make, self.seed = settings, policy, seed
        self.up, self.leaving, self.life, self.ready_at = True, False, 0, 0.0
        self.inbox, self.scheduled, self.free_at, self.paused_until = [], False, 0.0, 0.0
        self.held: dict[str, Hand] = {}
        self.out: dict[tuple[str, int], object] = {}  # (id, push) -> its call
        self.slots, self.list, self.brain = settings.slots, {}, None
        self.policy_seconds = 0.0

    # -- a life -------------------------------------------------------------------------------------

    def start(self, recovered: list[Hand]) -> None:
        """A process begins with the list it had last and with what its folder holds."""
        now = self.world.clock.now
        self.up, self.leaving, self.ready_at = True, False, now
        self.slots, self.inbox, self.scheduled = self.settings.slots, [], False
        self.brain = self.make(self.settings, self.seed + 7919 * self.life)
        if hasattr(self.brain, "see"):
            self.brain.see(self.world, self)
        self.held = {hand.id: hand for hand in recovered}
        events = [interface.ListUpdate(tuple(self.list.values()), whole=True)]
        for hand in recovered:
            hand.maybe_at, hand.open = hand.first_maybe(), {}
            events.append(self.world.clients.notification(hand))
        self.do(events, self.think(events), {})

    def die(self) -> list[Hand]:
        """The process ends; returns what it held."""
        self.up, self.life = False, self.life + 1
        held, self.held = list(self.held.values()), {}
        self.out.clear()
        self.brain = None
        return held

    def forgot(self, hand: Hand) -> bool:
        """Whether a kill without its folder took this one out of its duty."""
        return self.up and hand.id not in self.held

    # -- the queue ----------------------------------------------------------------------------------

    def tell(self, event) -> None:
        self.inbox.append(event)
        if not self.scheduled:
            self.scheduled = True
            self.world.clock.call_at(max(self.free_at, self.paused_until), self.round, self.life)

    def wake(self, life: int) -> None:
        if life == self.life and self.up:
            self.tell(WOKEN)

    def round(self, life: int) -> None:
        if life != self.life or not self.up:
            return
        now = self.world.clock.now
        if now < self.paused_until:
            self.world.clock.call_at(self.paused_until, self.round, life)
            return
        self.scheduled = False
        events, self.inbox = self.inbox, []
        heard, fresh, most = [], {}, self.settings.max_open
        for event in events:
            kind = type(event)
            if kind is Hand:
                if len(self.held) + len(fresh) >= most:
                    self.world.clients.turned_away(event)
                    continue
                fresh[event.id] = event
                heard.append(self.world.clients.notification(event))
            else:
                if kind is interface.Outcome:
                    self.before_outcome(event, now)
                heard.append(event)
        self.do(heard, self.think(heard), fresh)

    def think(self, events: list) -> list:
        began = perf_counter()
        actions = self.brain.round(self.world.clock.now, events)
        self.policy_seconds += perf_counter() - began
        return actions

    def before_outcome(self, o: interface.Outcome, now: float) -> None:
        """The history, as the ledger has it, and what the judge must know of the relay's knowledge."""
        hand, judge = self.held.get(o.id), self.world.judge
        unit = self.world.layout.routes[o.endpoint].unit
        if o.wait > 0.0:
            judge.wait(self, unit, now + o.wait)
        if o.result is not Result.DELIVERED and o.result is not Result.NOT_SENT and unit.out:
            unit.witnesses.add(self)
        if hand is None:
            return
        sent = hand.open.pop(o.push, inf)
        if o.result is Result.DELIVERED or o.ended:
            del self.held[o.id]
            judge.ended(hand, "delivered", now)
        elif o.result not in NEVER_RAN:
            hand.maybe_at = min(hand.maybe_at, sent)
            if o.result in MAY_STILL_RUN:
                judge.may_still_run(hand, now)

    def do(self, heard: list, actions: list, fresh: dict[str, Hand]) -> None:
        world, now = self.world, self.world.clock.now
        ends, cancels, pushes, wakes = [], [], [], []
        for action in actions:
            kind = type(action)
            if kind is interface.Push:
                pushes.append(action)
            elif kind is interface.SetTimer:
                wakes.append(action)
            elif kind is interface.Cancel:
                cancels.append(action)
            elif kind is interface.CloseIdleConnections:
                world.network.close_idle(self, action.endpoint)
            elif kind not in (interface.AskForList, interface.CancelUnsent):
                ends.append(action)
        fleet = world.day.fleet
        cost = fleet.cpu_round + fleet.cpu_event * (len(heard) + len(pushes))
        self.free_at = now + max(cost, self.settings.quantum)
        gone = set()
        for action in ends:
            hand = fresh.pop(action.id, None) or self.held.pop(action.id, None)
            if hand is not None:
                gone.add(action.id)
                hand.relay = self
                self.end(hand, action, now)
        for hand in fresh.values():
            hand.relay = self
            self.held[hand.id] = hand
            world.clients.taken(hand)
        for action in cancels:
            self.give_up(action.id, action.push, Result.CANCELLED)
        if pushes:
            self.push(pushes, gone, now, cost)
        for action in wakes:
            world.clock.call_later(action.after, self.wake, self.life)

    def end(self, hand: Hand, action, now: float) -> None:
        throttled = type(action) is interface.Throttle
        self.world.judge.ended(hand, "throttled" if throttled else "expired", now)
        self.world.clients.given_up(hand, throttled, action.retry_after if throttled else 0.0)

    def push(self, pushes: list[interface.Push], gone: set, now: float, cost: float) -> None:
        """Those of one round to one endpoint travel together, as many as it takes."""
        calls: dict[str, list] = {}
        for p in pushes:
            hand = self.held.get(p.id)
            if hand is None:
                if p.id in gone:
                    self.world.judge.fault(1, now, p.id, "pushed in the round that ended it")
                self.tell(interface.Outcome(p.id, 0, p.endpoint, Result.NOT_SENT, ended=True))
                continue
            number = hand.pushes
            hand.pushes += 1
            if number >= self.settings.max_pushes:
                self.tell(interface.Outcome(p.id, number, p.endpoint, Result.NOT_SENT))
                continue
            calls.setdefault(p.endpoint, []).append((hand, number, p.timeout))
        for endpoint, items in calls.items():
            route = self.world.layout.routes.get(endpoint)
            most = self.world.layout.batches[endpoint]
            for at in range(0, len(items), most):
                self.start_call(route, items[at : at + most], now, cost)

    def start_call(self, route, items: list, now: float, cost: float) -> None:
        if self.slots <= 0:
            for hand, number, _ in items:
                self.tell(interface.Outcome(hand.id, number, route.id, Result.NOT_SENT))
            return
        self.slots -= 1
        for hand, number, _ in items:
            hand.open[number] = now
            self.world.judge.pushed(hand, number, route, now)
        call = self.world.network.send(self, route, [(hand, number) for hand, number, _ in items], now, cost)
        out, at = self.out, self.world.clock.call_at
        for hand, number, timeout in items:
            out[hand.id, number] = call
            if timeout < inf:
                at(now + timeout, self.time_out, self.life, hand.id, number)

    # -- how pushes end -----------------------------------------------------------------------------

    def time_out(self, life: int, name: str, push: int) -> None:
        if life == self.life and (name, push) in self.out:
            self.give_up(name, push, Result.TIMED_OUT)

    def give_up(self, name: str, push: int, result: Result) -> None:
        call = self.out.pop((name, push), None)
        if call is None:
            return
        now = self.world.clock.now
        if now < call.stands:
            result = Result.NO_CONNECTION
        self.leave(call)
        self.tell(interface.Outcome(name, push, call.route.id, result, now - call.sent))

    def leave(self, call) -> None:
        """One of a call's items has its outcome; with the last one its slot is free."""
        call.open -= 1
        if not call.open:
            self.slots += 1
            self.world.network.let_go(call)

    def answered(self, call, result: Result, wait: float, limit: float) -> None:
        """Word on a call has come back."""
        route, now, told = call.route.id, self.world.clock.now, False
        for hand, number in call.items:
            if self.out.pop((hand.id, number), None) is not None:
                call.open -= 1
                told = True
                self.tell(
                    interface.Outcome(hand.id, number, route, result, now - call.sent, False, wait, limit)
                )
        if told and not call.open:
            self.slots += 1
