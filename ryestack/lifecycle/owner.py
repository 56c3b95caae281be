"""The one task that owns the decisions. All else reaches it through its queue.

Events that wait together go in one round; what the module asks for is done in the order that keeps the
promises: journal first, then the answer to the client, then the call.
"""

import asyncio
from collections import Counter, defaultdict
from dataclasses import dataclass
from functools import partial

from .. import interface as it
from ..brain import NEVER_RAN
from ..interface import Result
from ..observe.log import detailed, event
from ..ports import Courier, Directory, Ends, HandIn, Item, Verdict
from ..store.ledger import Ledger, Owed, rules_of, terms_of
from . import learnt
from .watched import Watched


@dataclass(frozen=True, slots=True)
class Afar:
    """How a push of another process of this relay ended."""

    outcome: it.Outcome


TOLD = ("elapsed", "ended", "wait", "limit", "stale", "left")  # of an outcome, in words between processes


class Owner:
    def __init__(self, settings: it.Settings, seed: int, ledger: Ledger, clock, wall: float):
        self.settings, self.ledger, self.clock = settings, ledger, clock
        self.wall = wall  # added to the clock, it gives the wall's time
        self.brain = Watched(settings, seed)
        self.brain.told_turn = partial(self.tell, "turn")
        self.queue, self.filled = [], asyncio.Event()
        self.courier: Courier = None  # these three are set once they can be built, before the first round
        self.ends: Ends = None
        self.directory: Directory = None
        self.emptied = False  # drained by staff: nothing new is taken
        self.counts = Counter()
        self.ended: Counter[tuple[str, str]] = Counter()  # by topic type and how it ended
        self.fresh: dict[str, HandIn] = {}
        self.kin = []  # lines to the other processes of this relay: each hears of our calls
        self.afar: dict[tuple[str, int], tuple[object, str]] = {}  # their pushes: whose, and where
        self.turns: dict[tuple[str, str], object] = {}  # their keys in order and ids: whose
        self.theirs: dict[object, int] = {}  # how many notifications each of them holds

    # -- the queue --------------------------------------------------------------------------------

    def put(self, events) -> None:
        self.queue.extend(events)
        self.filled.set()

    def hand_in(self, message: HandIn) -> None:
        self.put([message])

    def retune(self, settings: it.Settings) -> None:
        """Between rounds; the module hears of it before all that comes after."""
        self.settings = settings
        self.put([it.Retuned(settings)])

    def withdraw(self, name: str) -> None:
        self.put([it.Withdrawn(name)])

    def told_platform(self, names: list[str]) -> None:
        for name in names:
            self.ledger.over(name)

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
        asked = defaultdict(list)
        for action in self.brain.round(self.clock(), heard):
            asked[type(action)].append(action)
        for action in asked[it.Throttle] + asked[it.Expire]:
            self.end(action)
        for message in self.fresh.values():
            self.take(message)
        for action in asked[it.Cancel]:
            self.courier.cancel(action.id, action.push)
        for action in asked[it.CallOff]:
            self.courier.call_off(action.endpoint)
        self.push(asked[it.Push])
        for action in asked[it.HangUp]:
            self.courier.hang_up(action.endpoint)
        if any(isinstance(h, it.ListUpdate) for h in heard):
            self.courier.forget()
        for _ in asked[it.AskForList]:
            self.directory.ask()
        for action in asked[it.Wake]:
            asyncio.get_running_loop().call_later(action.after, self.put, [it.Woken()])

    def before_hand_in(self, message: HandIn):
        name = message.ntf.id
        if name in self.ledger.owed or name in self.fresh:
            message.verdict.set_result((Verdict.UNREADABLE, 0.0))
        elif (
            self.emptied
            or self.held_by_all() >= self.settings.max_open
            or not self.ledger.has_room(message.body)
        ):
            self.turn_away(message)
        else:
            self.fresh[name] = message
            return message.ntf
        return None

    def held(self) -> int:
        return len(self.ledger.owed) + len(self.fresh)

    def held_by_all(self) -> int:
        return self.held() + sum(self.theirs.values())

    def before_afar(self, event: Afar):
        return event.outcome if self.afar.pop((event.outcome.id, event.outcome.push), None) else None

    def before_outcome(self, o: it.Outcome):
        self.tell("ended", o.id, o.push, o.endpoint, o.result.value, *(getattr(o, name) for name in TOLD))
        self.counts[o.result.value] += 1
        if detailed():
            facts = {name: round(getattr(o, name), 3) for name in ("elapsed", "wait", "limit", "left")}
            event("push.ended", id=o.id, push=o.push, route=o.endpoint, result=o.result.value, **facts)
        if o.result is Result.DELIVERED or o.ended:
            if o.result is Result.DELIVERED and o.id in self.ledger.owed:
                self.ended[self.ledger.owed[o.id].topic, "delivered"] += 1
            self.ledger.over(o.id)
        else:
            self.ledger.outcome(o.id, o.push, o.result in NEVER_RAN)
        return o

    def before_withdrawn(self, event: it.Withdrawn):
        self.ledger.over(event.id)
        return event

    def end(self, action: it.Throttle | it.Expire) -> None:
        """An end at once answers the client; later it is a notice to the platform."""
        throttled = isinstance(action, it.Throttle)
        away = action.come_back if throttled else 0.0
        how = "throttled" if throttled else "expired"
        self.counts[how] += 1
        if detailed():
            event("ntf.ended", id=action.id, how=how, after=round(away, 3))
        message = self.fresh.pop(action.id, None)
        if message:
            self.ended[message.ntf.topic_type, how] += 1
            message.verdict.set_result((Verdict.THROTTLED if throttled else Verdict.EXPIRED, away))
        elif action.id in self.ledger.owed:
            self.ended[self.ledger.owed[action.id].topic, how] += 1
            notice = {"state": "returned" if throttled else "failed"}
            if away > 0.0:
                notice["after_ms"] = round(away * 1000.0)
            self.ledger.owe_notice(action.id, notice)
            self.ends.add(action.id, notice)

    def take(self, message: HandIn) -> None:
        n = message.ntf
        due = n.due + self.wall
        rules = rules_of(n.terms, n.most) if n.terms else None
        owed = Owed(
            n.id, due, n.destination, n.topic_type, n.customer, n.key, message.key, message.body, rules
        )
        if self.ledger.take(owed):
            self.counts["taken"] += 1
            self.told_taken(owed)
            self.ledger.owed[n.id].heard = message.heard
            message.verdict.set_result((Verdict.TAKEN, 0.0))
        else:
            self.turn_away(message)
            self.put([it.Withdrawn(n.id)])

    def told_taken(self, o: Owed) -> None:
        if detailed():
            event("ntf.taken", id=o.id, destination=o.dest, topic=o.topic, pushes=o.pushes)

    def turn_away(self, message: HandIn) -> None:
        """For want of room, not by a decision: the hold or the journal is full."""
        self.counts["turned away"] += 1
        self.ended[message.ntf.topic_type, "throttled"] += 1
        message.verdict.set_result((Verdict.THROTTLED, 0.0))

    def push(self, pushes: list[it.Push]) -> None:
        calls, unsent = defaultdict(list), []
        for p in pushes:
            owed = self.ledger.owed.get(p.id)
            if not owed:  # refused just now, for want of room in the journal
                unsent.append(it.Outcome(p.id, 0, p.endpoint, Result.NOT_SENT, ended=True))
                continue
            number = owed.pushes
            if not self.ledger.push(p.id, number, self.clock() + self.wall):
                owed.pushes += 1  # as the module counts
                unsent.append(it.Outcome(p.id, number, p.endpoint, Result.NOT_SENT))
                continue
            self.counts["pushes"] += 1
            calls[p.endpoint].append(Item(p.id, number, p.timeout, owed.key, owed.body, owed.heard, p.begin))
        for endpoint, items in calls.items():
            self.courier.start(endpoint, items)
            for i in items if detailed() else ():
                event(
                    "push.began",
                    id=i.id,
                    push=i.push,
                    route=endpoint,
                    destination=self.ledger.owed[i.id].dest,
                )
            if self.kin:
                self.tell("began", endpoint, [(i.id, i.push, self.ledger.owed[i.id].topic) for i in items])
        if unsent:
            self.put(unsent)

    # -- start and stop ---------------------------------------------------------------------------

    def recover(self, update: it.ListUpdate, told: dict | None = None, beside: bool = False) -> None:
        """Hand what the lives before still owe to the module, with its history; it decides.

        told: what the process before us had learnt; beside: it lives, told or not.
        """
        self.round([update])
        try:
            if told is not None:
                learnt.take(self.brain, told)
        except (TypeError, ValueError, KeyError, AttributeError) as problem:
            event("line.broken", why=f"what it has learnt makes no sense: {problem!r}")
            told = None
        if told is None and beside:
            learnt.careful(self.brain)
        self.adopt(list(self.ledger.owed.values()))
        self.round(self.take_queue())

    def adopt(self, left: list[Owed]) -> None:
        topics, known = {t.name for t in self.settings.topic_types}, []
        for o in left:
            terms, most = terms_of(o.topic, o.rules)
            if not o.notice and not terms and o.topic not in topics:
                self.ledger.owe_notice(o.id, {"state": "failed"})
            if o.notice:
                self.ends.add(o.id, o.notice)
            else:
                maybe = o.first_maybe() - self.wall
                due = o.due - self.wall
                self.told_taken(o)
                head = o.id, due, o.dest, o.topic, o.customer, o.order_key
                known.append(it.Notification(*head, o.pushes, maybe, terms, most))
        event("relay.recovered", owed=len(known), notices=len(left) - len(known))
        self.put(known)

    # -- the other processes of this relay ----------------------------------------------------------

    def tell(self, *word) -> None:
        for line in self.kin:
            line.say(*word)

    def hear(self, line, word: list) -> None:
        """A call of theirs began or ended: the module counts it with ours."""
        kind, *rest = word
        if kind == "began":
            topics = {t.name: t for t in self.settings.topic_types}
            any_ = next(iter(topics.values()))
            endpoint, items = rest
            self.afar.update({(name, push): (line, endpoint) for name, push, _ in items})
            told = tuple((name, push, topics.get(topic, any_)) for name, push, topic in items)
            self.put([it.Overheard(endpoint, told)])
        elif kind == "ended":
            name, push, endpoint, result, *more = rest
            facts = dict(zip(TOLD, more, strict=True))
            self.put([Afar(it.Outcome(name, push, endpoint, Result(result), **facts))])
        elif kind == "turn":
            key, name, over, rest_until = rest
            self.turns[key, name] = line
            if over:
                del self.turns[key, name]
            if name not in self.ledger.owed:
                self.put([it.Turn(key, name, over, rest_until)])
        elif kind == "holds":
            self.theirs[line] = int(rest[0])

    def out(self) -> list:
        """Our calls that are out, as "began" tells them."""
        return [
            (
                call.route.id,
                [(n.id, push, n.topic.name) for n, push in call.items if (n.id, push) in self.brain.out],
            )
            for call in {id(c): c for c, n in self.brain.out.values() if n.state != "afar"}.values()
        ]

    def gone(self, line) -> None:
        """What it had out ends with it; whoever owes those notifications has its history of them."""
        if line in self.kin:
            self.kin.remove(line)
        self.theirs.pop(line, None)
        theirs = [(key, at) for key, (whose, at) in self.afar.items() if whose is line]
        self.put([Afar(it.Outcome(*key, at, Result.CANCELLED)) for key, at in theirs])
        for (name, push), at in theirs:  # to a third one too, which heard of them through us
            self.tell("ended", name, push, at, Result.CANCELLED.value, 0.0, False, 0.0, 0.0, False, 1.0)

    def all_adopted(self) -> None:
        """What those that are gone owed is ours: a turn of theirs that is not among it is over."""
        for (key, name), line in list(self.turns.items()):
            if line not in self.kin:
                del self.turns[key, name]
                if name not in self.ledger.owed:
                    self.put([it.Turn(key, name, True)])

    def in_progress(self) -> int:
        return sum(not owed.notice for owed in self.ledger.owed.values())

    def settled(self) -> bool:
        return not self.queue and not self.ledger.owed

    BEFORE = {
        HandIn: before_hand_in,
        it.Outcome: before_outcome,
        Afar: before_afar,
        it.Withdrawn: before_withdrawn,
    }


def _as_is(_, event):
    return event
