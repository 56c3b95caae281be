"""The emulated world, put together: clients, relays, network, destinations, registry, faults."""

from math import ceil

from ..judge import Judge
from ..scenario import Scenario
from . import faults, traffic
from .accounts import Accounts
from .clients import Clients
from .clock import Clock
from .injector import FaultInjector
from .layout import Layout
from .measurements import Measurements
from .network import Network
from .random_streams import RandomStreams, block
from .registry import Registry
from .relays import Relay
from .settings import settings_of

AFTER = 2  # seconds played past the time of the last notification
RELAY_SEEDS = 1_000_003  # between the seeds of two days: more than relays have lives


class World:
    """One day. policy(settings, seed) makes what each relay decides by; run() plays it.

    trace: hand-ins whose lives the judge writes down. uniform: the calls' stream of even numbers in [0, 1);
    lags: the generator of what the front and the registry take.
    """

    def __init__(self, day: Scenario, seed: int, policy, trace=()):
        self.day, self.seed, self.chance, self.clock = day, seed, RandomStreams(seed), Clock()
        self.judge = Judge(day.topic, day.rules, trace)
        self.uniform, self.lags = block(self.chance.of("calls").random), self.chance.of("front")
        self.network, self.registry = Network(self), Registry(self)
        self.clients, self.injector = Clients(self), FaultInjector(self)
        gen = self.chance.of("world")
        self.load = faults.pick(day.traffic.load, gen)
        self.layout = Layout(day, gen, self.clock, self.network.done)
        self.plan = faults.plan(day, self.layout.shares, self.layout.groups, self.layout.stand, self.chance)
        self.arrivals = self.draw_arrivals()
        self.accounts = Accounts(day, self.arrivals)
        self.settings = settings_of(day, self.layout)
        self.relays = [self.relay(number, policy) for number in range(day.fleet.relays)]
        self.seconds = ceil(day.seconds) + ceil(max(t.ttl for t in day.topic)) + AFTER
        self.measured = Measurements(self.seconds, len(self.layout.shares))

    def draw_arrivals(self) -> traffic.Arrivals:
        layout = self.layout
        clumps = [
            (s.at, dest, ceil(s.size * layout.takes[dest]))
            for s in self.plan
            if s.kind == "clump"
            for dest in s.destinations
        ]
        return traffic.draw(self.day, layout.shares, layout.takes, self.load, clumps, self.chance)

    def relay(self, number: int, policy) -> Relay:
        building = number % self.day.network.buildings
        return Relay(self, number, building, self.settings, policy, self.seed * RELAY_SEEDS + number)

    def run(self) -> "World":
        whole = self.registry.whole()
        for relay in self.relays:
            relay.list = whole  # shared until it is told a change
            relay.start([])
        self.injector.start()
        self.clients.start()
        for second in range(1, self.seconds):
            self.clock.call_at(float(second), self.sample, second)
        self.clock.run(float(self.seconds))
        return self

    def sample(self, second: int) -> None:
        self.measured.sample(second, self.relays, len(self.layout.routes))
