"""Destinations as they are: units with a limit, outages and a warm-up, and their routes with slots and a
queue.

A unit is a destination whose endpoints share all, or one endpoint where they are routes apart. What goes
wrong is a list of troubles at the unit, each met by a part of the calls; several at once compose.
"""

from collections import deque
from dataclasses import dataclass
from math import inf

from .limits import NoLimit

# What a call meets at an endpoint, the gravest first: the troubles that stop it are looked at in this order.
STOPPING = ("vanish", "refuse", "hang", "shut", "reset-before", "error", "lost", "reset-after")
OUTAGES = {"vanish", "refuse", "hang", "shut", "error", "reset-before"}  # where most calls meet one of these
MOST = 0.5  # of the calls: from there on it counts as an outage
SLACK = 2.0  # calls over rule 4's budget, for chance: a window may begin with two that came together


@dataclass(slots=True, eq=False)
class Trouble:
    """kind: one of STOPPING, or slow, tail; part: of the calls that meet it; size: how many times slower;
    topic: the one that it strikes, "" for all; until: told as a wait where it is shut, 0 if it is not
    told."""

    kind: str
    part: float = 1.0
    size: float = 1.0
    topic: str = ""
    until: float = 0.0


@dataclass(slots=True)
class Cold:
    """How a unit comes back: at `share` of its capacity, in full after `time` seconds; sent more than
    `factor` times what it can do, over `window` seconds, it falls for `fall` seconds."""

    share: float
    time: float
    factor: float
    window: float
    fall: float


class Call:
    """One call on its way. items: (hand-in, push number); sent: when its relay's round sent it; fresh: on a
    connection opened for it, which stands from `stands` on; work: seconds that it runs at full capacity;
    fate: what becomes of it once it has run: "" (answered), lost or reset-after; state: out, queued, running,
    ended."""

    __slots__ = (
        "fate", "fresh", "given_up", "items", "life", "open", "relay", "route", "sent", "stands", "state",
        "trip", "work",
    )  # fmt: skip

    def __init__(self, relay, route: "Route", items: list, sent: float):
        self.relay, self.route, self.items, self.sent, self.life = relay, route, items, sent, relay.life
        self.open, self.fresh, self.stands, self.trip, self.work = len(items), False, sent, 0.0, 0.0
        self.state, self.given_up, self.fate = "out", False, ""


class Unit:
    """What shares a limit, outages and a warm-up."""

    def __init__(self, name: str, capacity: float, cold: Cold, limit=None, tells: float = 0.0):
        self.name, self.capacity, self.cold, self.limit, self.tells = (
            name,
            capacity,
            cold,
            limit or NoLimit(),
            tells,
        )
        self.troubles: list[Trouble] = []
        self.out, self.cold_since, self.fallen_until = False, -inf, 0.0
        self.witnesses: set = set()  # relays that saw a call fail or be refused here in the last outage
        self.recent: deque = deque()  # (time, relay, weight) of what came while cold, within the window
        self.routes: list = []

    # -- outages and the way back -------------------------------------------------------------------

    def strike(self, trouble: Trouble, now: float) -> None:
        self.troubles.append(trouble)
        self.look(now)

    def mend(self, trouble: Trouble, now: float) -> None:
        if trouble in self.troubles:
            self.troubles.remove(trouble)
        self.look(now)

    def look(self, now: float) -> None:
        """Whether an outage begins or ends here."""
        out = any(t.kind in OUTAGES and t.part >= MOST and not t.topic for t in self.troubles)
        if out and not self.out:
            self.witnesses.clear()
            self.recent.clear()
        elif self.out and not out:
            self.cold_since = now
            self.recent.clear()
        self.out = out

    def share(self, now: float) -> float:
        """The part of its capacity that it has now."""
        gone = (now - self.cold_since) / self.cold.time if self.cold.time > 0.0 else 1.0
        return 1.0 if gone >= 1.0 else self.cold.share + (1.0 - self.cold.share) * gone

    def is_cold(self, now: float) -> bool:
        return not self.out and now < self.cold_since + self.cold.time

    def pushed_over(self, relay, weight: float, now: float) -> list | None:
        """Work has come to a cold unit; what came within the window if that is too much for it."""
        recent, window = self.recent, self.cold.window
        recent.append((now, relay, weight))
        while recent[0][0] <= now - window:
            recent.popleft()
        budget = self.cold.factor * self.capacity * self.share(now) * window + SLACK
        return list(recent) if sum(row[2] for row in recent) > budget else None

    def meets(self, topic: str, chance) -> str:
        """What stops a call of a topic, "" if nothing does; chance() is even in [0, 1)."""
        for kind in STOPPING:
            for t in self.troubles:
                if (
                    t.kind == kind
                    and (not t.topic or t.topic == topic)
                    and (t.part >= 1.0 or chance() < t.part)
                ):
                    return kind
        return ""

    def slower(self, topic: str, chance) -> float:
        """How many times longer a call runs, by troubles."""
        times = 1.0
        for t in self.troubles:
            if t.kind in ("slow", "tail") and (not t.topic or t.topic == topic):
                times *= t.size if t.part >= 1.0 or chance() < t.part else 1.0
        return times

    def opens_at(self) -> float:
        """Until when it says that it is shut, 0 if it does not say."""
        return max((t.until for t in self.troubles if t.kind == "shut"), default=0.0)


class Route:
    """One endpoint: slots, a queue, connections. done(call) is called once a call has run."""

    __slots__ = (
        "building", "clock", "conns", "depth", "done", "id", "most_conns", "queue", "running", "shown",
        "slots", "unit", "working",
    )  # fmt: skip

    def __init__(
        self, name: str, unit: Unit, building: int, slots: int, depth: int, clock, done, most_conns=0
    ):
        self.id, self.unit, self.building, self.slots, self.depth = name, unit, building, slots, depth
        self.clock, self.done, self.most_conns = clock, done, most_conns
        self.queue, self.running, self.working = deque(), 0, set()
        self.conns: dict = {}  # relay -> idle connections, each the time since when
        self.shown = "up"  # what the registry would tell of it now
        unit.routes.append(self)

    def arrive(self, call: Call) -> bool:
        """Whether a call is taken; False: the queue is full."""
        if self.running < self.slots:
            self.begin(call)
            return True
        if len(self.queue) >= self.depth:
            return False
        call.state = "queued"
        self.queue.append(call)
        return True

    def begin(self, call: Call) -> None:
        self.running += 1
        call.state = "running"
        self.working.add(call)
        self.clock.call_later(call.work / self.unit.share(self.clock.now), self.finish, call)

    def finish(self, call: Call) -> None:
        if call.state != "running":  # the process died meanwhile
            return
        call.state = "ended"
        self.working.discard(call)
        self.running -= 1
        while self.queue:
            following = self.queue.popleft()
            if following.state == "queued":
                self.begin(following)
                break
        self.done(call)

    def drop(self, call: Call) -> None:
        """Its relay gave it up while it waited, and this endpoint notices."""
        if call.state == "queued":
            call.state = "ended"
            self.queue.remove(call)

    def die(self) -> list[Call]:
        """The process ends; the calls that it had, none of which runs on."""
        had = [c for c in [*self.working, *self.queue] if c.state != "ended"]
        for call in had:
            call.state = "ended"
        self.queue.clear()
        self.working.clear()
        self.running = 0
        self.conns.clear()
        return had

    def open_conns(self, now: float, idle: float) -> int:
        """Connections open now, those past their idle time forgotten."""
        count = self.running
        for relay, kept in list(self.conns.items()):
            kept[:] = [since for since in kept if now < since + idle]
            count += len(kept)
            if not kept:
                del self.conns[relay]
        return count
