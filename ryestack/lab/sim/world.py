"""The emulated world: assembles clients, relays, network, destinations, registry and faults."""

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
from .random_streams import RandomStreams, buffered
from .registry import Registry
from .relays import Relay
from .settings import settings_of

DRAIN_TIME_S = 2  # played after the last deadline
RELAY_SEED_STRIDE = 1_000_003  # between two days; larger than the number of relay incarnations of a day


class World:
    """One day; run() plays it.

    policy(settings, seed): creates the policy of a relay; trace: ids of submissions that the judge traces;
    uniform: returns uniform numbers in [0, 1) for calls; lags: the generator for delays of the load balancer
    and the registry.
    """

    def __init__(self, day: Scenario, seed: int, policy, trace=()):
        self.day, self.seed, self.streams, self.clock = day, seed, RandomStreams(seed), Clock()
        self.judge = Judge(day.topic, day.rules, trace)
        self.uniform, self.lags = (
            buffered(self.streams.generator("calls").random),
            self.streams.generator("front"),
        )
        self.network, self.registry = Network(self), Registry(self)
        self.clients, self.injector = Clients(self), FaultInjector(self)
        rng = self.streams.generator("world")
        self.load = faults.draw_value(day.traffic.load, rng)
        self.layout = Layout(day, rng, self.clock, self.network.done)
        self.plan = faults.plan(
            day, self.layout.shares, self.layout.groups, self.layout.home_buildings, self.streams
        )
        self.arrivals = self.draw_arrivals()
        self.accounts = Accounts(day, self.arrivals)
        self.settings = settings_of(day, self.layout)
        self.relays = [self.make_relay(number, policy) for number in range(day.fleet.relays)]
        self.seconds = ceil(day.seconds) + ceil(max(t.ttl for t in day.topic)) + DRAIN_TIME_S
        self.measured = Measurements(self.seconds, len(self.layout.shares))

    def draw_arrivals(self) -> traffic.Arrivals:
        """The arrivals, with the clumps of the plan's faults."""
        layout = self.layout
        clumps = [
            (fault.at, dest, ceil(fault.size * layout.accepted_rates[dest]))
            for fault in self.plan
            if fault.kind == "clump"
            for dest in fault.destinations
        ]
        return traffic.draw(self.day, layout.shares, layout.accepted_rates, self.load, clumps, self.streams)

    def make_relay(self, number: int, policy) -> Relay:
        """Create a relay with a seed of its own."""
        building = number % self.day.network.buildings
        return Relay(self, number, building, self.settings, policy, self.seed * RELAY_SEED_STRIDE + number)

    def run(self) -> "World":
        """Play the day; returns self."""
        full_list = self.registry.full_list()
        for relay in self.relays:
            relay.endpoints = full_list  # shared until the relay receives a change
            relay.start([])
        self.injector.start()
        self.clients.start()
        for second in range(1, self.seconds):
            self.clock.call_at(float(second), self.sample, second)
        self.clock.run(float(self.seconds))
        return self

    def sample(self, second: int) -> None:
        """Take the measurements of a second."""
        self.measured.sample(second, self.relays, len(self.layout.routes))
