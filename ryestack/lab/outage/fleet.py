"""A fleet of decision modules in simulated time, and a partner that goes away and comes back cold. Pure."""

import heapq
from collections import Counter
from itertools import count
from math import inf
from random import Random

from ... import interface
from ...brain import NEVER_RAN, Brain
from ...interface import Endpoint, ListUpdate, Notification, Outcome, Result, SettingsChanged
from .budget import ReceivedCall, judge
from .fleet_settings import DESTINATION, ROUTES, TOPICS, settings_of
from .folder import Folder
from .partner import Away, Partner
from .plays import OutagePlay, PlayResult

RATE_ERROR = 1.5  # factor by which a listed rate may be off
ROUND_S = 0.005  # the least time between two rounds of a relay
SEND_S = (0.001, 0.02)  # from a decision to the call's arrival
RESTART_S = 0.6  # from a kill to the next process


class Fleet:
    """Runs one play."""

    def __init__(self, play: OutagePlay, made=Brain):
        self.play, self.made, self.rng = play, made, Random(f"outage {play.seed}")
        self.partner = Partner(
            play.capacity, play.away, play.begin, play.end, Random(f"partner {play.seed}"),
            play.slow_start, play.refuses, play.limited, play.reports, play.waits, play.span,
            play.reported_factor,
        )  # fmt: skip
        self.settings = settings_of(play)
        listed = play.capacity * self.rng.uniform(1.0 / RATE_ERROR, RATE_ERROR)
        self.endpoints = {name: Endpoint(name, "z", "k", DESTINATION, rate=listed) for name in ROUTES}
        self.agenda: list[tuple] = []
        self.sequence = count()
        self.modules: list[Brain | None] = [None] * play.relays
        self.lives = [0] * play.relays
        self.folders = [Folder() for _ in range(play.relays)]
        self.given_up: set[tuple[str, int]] = set()  # pushes that their relay has ended unanswered
        self.inbox: list[list] = [[] for _ in range(play.relays)]
        self.due_rounds: set[int] = set()
        self.handed_in: dict[str, float] = {}
        self.delivered: dict[str, float] = {}
        self.over: set[str] = set()
        self.pushes: Counter[str] = Counter()
        self.may_have_run: dict[str, float] = {}
        self.messages: dict[str, tuple[int, float, str]] = {}

    def at(self, when: float, action, *arguments) -> None:
        """Schedules an action."""
        heapq.heappush(self.agenda, (when, next(self.sequence), action, arguments))

    def run(self) -> PlayResult:
        """Plays to the end; returns what the partner's book says."""
        play = self.play
        self.now = 0.0
        for relay in range(play.relays):
            self.start(relay)
        weights = [1.0 if play.even else self.rng.paretovariate(1.2) for _ in range(play.relays)]
        when = 0.0
        while (when := when + self.rng.expovariate(play.load * play.capacity)) < play.seconds:
            self.at(when, self.hand_in, self.rng.choices(range(play.relays), weights)[0])
        for relay in self.rng.sample(range(play.relays), int(play.killed * play.relays)):
            chosen = self.rng.uniform(play.begin + 0.5, play.end + 1.0)
            self.at(chosen if play.killed_after is None else play.end + play.killed_after, self.kill, relay)
        if play.save_interval:
            for relay in range(play.relays):
                self.at(self.rng.uniform(0.0, play.save_interval), self.save, relay)
        if play.reloads:
            for relay in range(play.relays):
                self.at(
                    self.rng.uniform(play.begin + 1.0, play.end),
                    self.deliver,
                    relay,
                    SettingsChanged(self.settings),
                )
        if play.replaces:
            self.at(play.begin + 4.0, self.replace)
        while self.agenda and self.agenda[0][0] < play.seconds + TOPICS[-1].ttl:
            self.now, _, action, arguments = heapq.heappop(self.agenda)
            action(*arguments)
        return self.result()

    def start(self, relay: int) -> None:
        """Starts a process of the relay with what its folder holds."""
        module = self.made(self.settings, self.rng.random())
        self.modules[relay] = module
        self.lives[relay] += 1
        rows = tuple(self.endpoints.values())
        self.act(relay, module.round(self.now, [ListUpdate(rows, whole=True)]))
        owed = [name for name, row in self.messages.items() if row[0] == relay and name not in self.over]
        self.folders[relay].restore(module, {DESTINATION} if owed else set())
        events = [self.notification(name) for name in owed]
        self.act(relay, module.round(self.now, events))

    def save(self, relay: int) -> None:
        """The relay's process saves what it has learned, and will again."""
        play = self.play
        if self.now < play.saves_until:
            if self.modules[relay] is not None:
                self.folders[relay].save(self.modules[relay], self.now)
            self.at(self.now + play.save_interval, self.save, relay)

    def kill(self, relay: int) -> None:
        """Kills the relay's process; its folder stays, or is lost."""
        module = self.modules[relay]
        if self.play.forgets:
            self.folders[relay] = Folder()
        elif not self.play.save_interval:
            self.folders[relay].save(module, self.now)
            self.folders[relay].save_failing(module, self.now)
        for name, _ in module.in_flight:
            self.may_have_run.setdefault(name, self.now)
        self.modules[relay] = None
        self.lives[relay] += 1
        self.inbox[relay] = []
        self.at(self.now + RESTART_S, self.start, relay)

    def replace(self) -> None:
        """Replaces the second endpoint by a new one, which the list tells all relays."""
        old = self.endpoints.pop(ROUTES[1])
        new = Endpoint("c", old.zone, old.kind, old.destination, rate=old.rate)
        self.endpoints["c"] = new
        for relay in range(self.play.relays):
            draining = Endpoint(
                old.id, old.zone, old.kind, old.destination, interface.EndpointStatus.DRAINING
            )
            self.deliver(relay, ListUpdate((new, draining)))

    def hand_in(self, relay: int) -> None:
        """A client hands a message to the relay."""
        if self.modules[relay] is None:
            return
        topic = self.rng.choice(TOPICS)
        name = f"n{len(self.messages)}"
        self.messages[name] = relay, self.now + topic.ttl, topic.name
        self.handed_in[name] = self.now
        self.deliver(relay, self.notification(name))

    def notification(self, name: str) -> Notification:
        """The message as the relay's process gets it."""
        _, due, topic = self.messages[name]
        ran = self.may_have_run.get(name, inf)
        return Notification(name, due, DESTINATION, topic, pushes=self.pushes[name], may_have_run_at=ran)

    def deliver(self, relay: int, event) -> None:
        """Queues an event for the relay's next round."""
        if self.modules[relay] is None:
            return
        self.inbox[relay].append(event)
        if relay not in self.due_rounds:
            self.due_rounds.add(relay)
            self.at(self.now + ROUND_S, self.round, relay)

    def round(self, relay: int) -> None:
        """Gives the relay's process what has come."""
        self.due_rounds.discard(relay)
        events, self.inbox[relay] = self.inbox[relay], []
        if (module := self.modules[relay]) is not None:
            actions = module.round(self.now, events)
            if self.play.save_interval:
                self.folders[relay].save_failing(module, self.now)
            self.act(relay, actions)

    def act(self, relay: int, actions: list) -> None:
        """Carries out what the relay's process decided."""
        life = self.lives[relay]
        for action in actions:
            if isinstance(action, interface.SetTimer):
                self.at(self.now + action.after, self.fire, relay, life)
            elif isinstance(action, interface.Push):
                number = self.pushes[action.id]
                self.pushes[action.id] += 1
                send = self.rng.uniform(*SEND_S)
                self.at(self.now + send, self.arrive, relay, life, action, number, self.now)
            elif isinstance(action, interface.Throttle | interface.Expire):
                self.over.add(action.id)
            elif isinstance(action, interface.Cancel):
                ended = Outcome(action.id, action.push, "", Result.CANCELLED)
                self.at(self.now, self.give_up, relay, life, ended)

    def fire(self, relay: int, life: int) -> None:
        """A timer of the relay's process fires."""
        if life == self.lives[relay]:
            self.deliver(relay, interface.TimerFired())

    def arrive(self, relay: int, life: int, push, number: int, sent: float) -> None:
        """A call arrives at the partner, unless its process has ended or the link holds it."""
        play = self.play
        if life != self.lives[relay] or (play.drops_given_up and (push.id, number) in self.given_up):
            return
        if play.away is Away.HELD and play.begin <= self.now < play.end:
            self.hold(relay, life, push, number, sent)
            return
        answer = self.partner.call(self.now, relay)
        after, result = answer.after, answer.result
        if result is None or sent + push.timeout < self.now + after:
            after, result = sent + push.timeout - self.now, Result.TIMED_OUT
        if result not in NEVER_RAN:
            self.may_have_run.setdefault(push.id, sent)
        outcome = Outcome(
            push.id, number, push.endpoint, result, after, result is Result.DELIVERED, answer.wait,
            answer.limit, limit_left=answer.limit_left,
        )  # fmt: skip
        self.at(self.now + max(0.0, after), self.end, relay, life, outcome)

    def hold(self, relay: int, life: int, push, number: int, sent: float) -> None:
        """The link holds a call until the outage ends; its relay knows that it has no answer."""
        self.partner.notified.add(relay)
        self.may_have_run.setdefault(push.id, sent)
        self.at(self.play.end, self.arrive, relay, life, push, number, sent)
        if sent + push.timeout < self.play.end:
            ended = Outcome(push.id, number, push.endpoint, Result.TIMED_OUT, push.timeout)
            self.at(sent + push.timeout, self.give_up, relay, life, ended)

    def give_up(self, relay: int, life: int, outcome: Outcome) -> None:
        """The relay ends a call that has no answer."""
        self.given_up.add((outcome.id, outcome.push))
        self.end(relay, life, outcome)

    def end(self, relay: int, life: int, outcome: Outcome) -> None:
        """The relay's process hears how a push ended."""
        if outcome.result is Result.DELIVERED:
            self.delivered.setdefault(outcome.id, self.now)
            self.over.add(outcome.id)
        if life == self.lives[relay]:
            self.deliver(relay, outcome)

    def result(self) -> PlayResult:
        """What came of it."""
        partner, play = self.partner, self.play
        calls = [
            ReceivedCall(at - play.end, relay, relay in partner.notified)
            for at, relay in partner.received
            if at >= play.end
        ]
        cold = calls if play.away is not Away.NEVER else []
        early = [name for name, at in self.handed_in.items() if at < play.end]
        waits = [self.delivered[name] - self.handed_in[name] for name in self.delivered]
        return PlayResult(
            judge(cold, play.capacity, play.slow_start),
            len(self.handed_in),
            len(self.delivered),
            (len(early), sum(name in self.delivered for name in early)),
            sum(waits) / max(1, len(waits)),
            len(partner.received),
        )
