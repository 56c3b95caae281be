"""The emulated destinations: units with a limit, outages and a warm-up, and their routes with slots and a
queue.

A unit is a destination whose endpoints share limit and outages, or a single endpoint where each has its own.
A unit has a list of active faults, each of which affects a share of the calls; concurrent faults compose.
"""

from collections import deque
from dataclasses import dataclass
from math import inf

from .limits import NoLimit

# Faults that stop a call, the most severe first: they are checked in this order.
BLOCKING_FAULTS = ("vanish", "refuse", "hang", "shut", "reset-before", "error", "lost", "reset-after")
OUTAGE_FAULTS = {"vanish", "refuse", "hang", "shut", "error", "reset-before"}
OUTAGE_CALL_SHARE = 0.5  # share of affected calls from which a fault counts as an outage
BUDGET_SLACK_CALLS = 2.0  # above rule 4's budget: a window may begin with two simultaneous calls


@dataclass(slots=True, eq=False)
class UnitFault:
    """A fault that is active at a unit.

    kind: one of BLOCKING_FAULTS, or slow, tail; part: share of the calls that it affects; size: slowdown
    factor; topic: the topic type that it affects, "" for all; until: when a shut unit reports to open, 0 if
    it does not.
    """

    kind: str
    part: float = 1.0
    size: float = 1.0
    topic: str = ""
    until: float = 0.0


@dataclass(slots=True)
class WarmUp:
    """How a unit recovers: from `share` of its capacity to all of it in `time` seconds. If it receives more
    than `factor` times its capacity over `window` seconds, it goes down for `fall` seconds."""

    share: float
    time: float
    factor: float
    window: float
    fall: float


class Call:
    """A call with its items.

    items: (submission, push number); sent: when the round of its relay sent it; new_connection: whether a
    connection was opened for it, which is established at `connected_at`; pending: items without an outcome;
    work: seconds that it runs at full capacity; reply_fault: what happens once it has run: "" (answered),
    lost or reset-after; state: out, queued, running, ended.
    """

    __slots__ = (
        "abandoned", "connected_at", "incarnation", "items", "new_connection", "one_way_delay", "pending",
        "relay", "reply_fault", "route", "sent", "state", "work",
    )  # fmt: skip

    def __init__(self, relay, route: "Route", items: list, sent: float):
        self.relay, self.route, self.items, self.sent, self.incarnation = (
            relay,
            route,
            items,
            sent,
            relay.incarnation,
        )
        self.pending, self.new_connection, self.connected_at, self.one_way_delay, self.work = (
            len(items),
            False,
            sent,
            0.0,
            0.0,
        )
        self.state, self.abandoned, self.reply_fault = "out", False, ""


class Unit:
    """Endpoints that share a limit, outages and a warm-up; capacity: calls a second."""

    def __init__(
        self, name: str, capacity: float, warm_up: WarmUp, limit=None, wait_probability: float = 0.0
    ):
        self.name, self.capacity, self.warm_up, self.limit, self.wait_probability = (
            name,
            capacity,
            warm_up,
            limit or NoLimit(),
            wait_probability,
        )
        self.faults: list[UnitFault] = []
        self.out, self.cold_since, self.fallen_until = False, -inf, 0.0
        self.witnesses: set = set()  # relays that had a failed or refused call in the last outage
        self.recent: deque = deque()  # (time, relay, weight) of calls to the cold unit within the window
        self.routes: list = []

    # -- outages and recovery -----------------------------------------------------------------------

    def add_fault(self, fault: UnitFault, now: float) -> None:
        """Activate a fault."""
        self.faults.append(fault)
        self.update_outage(now)

    def remove_fault(self, fault: UnitFault, now: float) -> None:
        """Deactivate a fault."""
        if fault in self.faults:
            self.faults.remove(fault)
        self.update_outage(now)

    def update_outage(self, now: float) -> None:
        """Begin or end an outage as the active faults require."""
        out = any(
            fault.kind in OUTAGE_FAULTS and fault.part >= OUTAGE_CALL_SHARE and not fault.topic
            for fault in self.faults
        )
        if out and not self.out:
            self.witnesses.clear()
            self.recent.clear()
        elif self.out and not out:
            self.cold_since = now
            self.recent.clear()
        self.out = out

    def capacity_share(self, now: float) -> float:
        """The share of its capacity that the unit has now."""
        progress = (now - self.cold_since) / self.warm_up.time if self.warm_up.time > 0.0 else 1.0
        return 1.0 if progress >= 1.0 else self.warm_up.share + (1.0 - self.warm_up.share) * progress

    def is_cold(self, now: float) -> bool:
        """Whether the unit is warming up after an outage."""
        return not self.out and now < self.cold_since + self.warm_up.time

    def overloaded_by(self, relay, weight: float, now: float) -> list | None:
        """Count a call to a cold unit; returns the calls within the window if they exceed its budget."""
        recent, window = self.recent, self.warm_up.window
        recent.append((now, relay, weight))
        while recent[0][0] <= now - window:
            recent.popleft()
        budget = self.warm_up.factor * self.capacity * self.capacity_share(now) * window + BUDGET_SLACK_CALLS
        return list(recent) if sum(row[2] for row in recent) > budget else None

    def blocking_fault(self, topic: str, uniform) -> str:
        """The kind of fault that stops a call of a topic type, "" if none does; uniform() is in [0, 1)."""
        for kind in BLOCKING_FAULTS:
            for fault in self.faults:
                if (
                    fault.kind == kind
                    and (not fault.topic or fault.topic == topic)
                    and (fault.part >= 1.0 or uniform() < fault.part)
                ):
                    return kind
        return ""

    def slowdown(self, topic: str, uniform) -> float:
        """The factor by which the active faults prolong a call."""
        factor = 1.0
        for fault in self.faults:
            if fault.kind in ("slow", "tail") and (not fault.topic or fault.topic == topic):
                factor *= fault.size if fault.part >= 1.0 or uniform() < fault.part else 1.0
        return factor

    def opens_at(self) -> float:
        """The time at which a shut unit reports to open, 0 if it reports none."""
        return max((fault.until for fault in self.faults if fault.kind == "shut"), default=0.0)


class Route:
    """One endpoint: slots, a queue, connections. on_done(call) is called when a call has run."""

    __slots__ = (
        "active_calls", "building", "clock", "depth", "id", "idle_connections", "max_connections", "on_done",
        "queue", "running", "slots", "status", "unit",
    )  # fmt: skip

    def __init__(
        self, name: str, unit: Unit, building: int, slots: int, depth: int, clock, on_done, max_connections=0
    ):
        self.id, self.unit, self.building, self.slots, self.depth = name, unit, building, slots, depth
        self.clock, self.on_done, self.max_connections = clock, on_done, max_connections
        self.queue, self.running, self.active_calls = deque(), 0, set()
        self.idle_connections: dict = {}  # (relay, incarnation) -> since when each connection is idle
        self.status = "up"  # its status in the registry
        unit.routes.append(self)

    def enqueue(self, call: Call) -> bool:
        """Start or queue a call; False if the queue is full."""
        if self.running < self.slots:
            self.start(call)
            return True
        if len(self.queue) >= self.depth:
            return False
        call.state = "queued"
        self.queue.append(call)
        return True

    def start(self, call: Call) -> None:
        """Run a call in a slot."""
        self.running += 1
        call.state = "running"
        self.active_calls.add(call)
        self.clock.call_later(call.work / self.unit.capacity_share(self.clock.now), self.finish, call)

    def finish(self, call: Call) -> None:
        """A call has run; the next queued call takes its slot."""
        if call.state != "running":  # the process has died meanwhile
            return
        call.state = "ended"
        self.active_calls.discard(call)
        self.running -= 1
        while self.queue:
            following = self.queue.popleft()
            if following.state == "queued":
                self.start(following)
                break
        self.on_done(call)

    def drop(self, call: Call) -> None:
        """Remove a queued call that its relay has abandoned."""
        if call.state == "queued":
            call.state = "ended"
            self.queue.remove(call)

    def crash(self) -> list[Call]:
        """The process ends; returns the calls that it had, none of which completes."""
        interrupted = [c for c in [*self.active_calls, *self.queue] if c.state != "ended"]
        for call in interrupted:
            call.state = "ended"
        self.queue.clear()
        self.active_calls.clear()
        self.running = 0
        self.idle_connections.clear()
        return interrupted

    def count_connections(self, now: float, idle: float) -> int:
        """The number of open connections; those past their idle time are discarded."""
        count = self.running
        for relay, idle_since in list(self.idle_connections.items()):
            idle_since[:] = [since for since in idle_since if now < since + idle]
            count += len(idle_since)
            if not idle_since:
                del self.idle_connections[relay]
        return count
