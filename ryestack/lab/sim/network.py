"""Calls between relays and endpoints: connections, faults on arrival, execution and the reply."""

from math import inf

from ...interface import Result
from .partners import Call, Route, Unit
from .relays import Relay

ERROR_DELAY_S = 0.005  # until a failing destination answers with an error
TIME_TOLERANCE_S = 1e-9  # rounding difference between two sums of the same times


class Network:
    """partitions: (relay numbers, buildings) separated from the rest; handshake_factor: multiplies the
    duration of handshakes."""

    def __init__(self, world):
        self.world, self.day, self.clock = world, world.day, world.clock
        self.partitions: list[tuple[set[int], set[int]]] = []
        self.handshake_factor = 1.0

    def is_partitioned(self, relay: Relay, route: Route) -> bool:
        """Whether a partition separates a relay from an endpoint."""
        return any((relay.number in r) != (route.building in b) for r, b in self.partitions)

    # -- sending ------------------------------------------------------------------------------------

    def send(self, relay: Relay, route: Route, items: list, now: float, cost: float) -> Call:
        """Send a call; its result, if there is one, is passed to relay.on_reply."""
        call = Call(relay, route, items, now)
        measured = self.world.measured
        measured.counts["pushes"] += len(items)
        measured.counts["calls"] += 1
        measured.add("pushes", now, len(items))
        delay = self.world.layout.delays[relay.building][route.building]
        call.one_way_delay = delay * (1.0 + self.day.network.jitter * self.world.uniform()) + cost
        reused = self.take_idle_connection(relay, route, now)
        partitioned = bool(self.partitions) and self.is_partitioned(relay, route)
        if not reused:
            self.connect(call, partitioned, now)
        elif not partitioned:
            self.clock.call_later(call.one_way_delay, self.on_request, call)
        return call

    def take_idle_connection(self, relay: Relay, route: Route, now: float) -> bool:
        """Take an idle connection for a call, if there is one; expired ones are discarded."""
        idle_since = route.idle_connections.get((relay.number, relay.incarnation))
        while idle_since:
            if now < idle_since.pop() + self.day.network.idle:
                return True
        return False

    def connect(self, call: Call, partitioned: bool, now: float) -> None:
        """Open a connection for a call; it is established after the handshake, or never."""
        network, route = self.day.network, call.route
        self.world.measured.counts["connections"] += 1
        call.new_connection, faults = True, {f.kind for f in route.unit.faults if f.part >= 1.0}
        if partitioned or "vanish" in faults:
            self.fail_connection(call, network.connect_timeout)
        elif "refuse" in faults or route.status == "gone" or self.connections_exhausted(route, now):
            self.fail_connection(call, 2.0 * call.one_way_delay)
        else:
            handshake = 2.0 * call.one_way_delay * network.handshake * self.handshake_factor
            if handshake >= network.connect_timeout:
                self.fail_connection(call, network.connect_timeout)
            else:
                call.connected_at = now + handshake
                self.clock.call_later(handshake + call.one_way_delay, self.on_request, call)

    def connections_exhausted(self, route: Route, now: float) -> bool:
        """Whether an endpoint accepts no further connection."""
        return (
            route.max_connections > 0
            and route.count_connections(now, self.day.network.idle) >= route.max_connections
        )

    def fail_connection(self, call: Call, delay: float) -> None:
        """Report a failed connection after a delay."""
        call.connected_at = inf
        self.clock.call_later(delay, self.connection_failed, call)

    def connection_failed(self, call: Call) -> None:
        """Pass a failed connection to the relay, unless it has abandoned the call."""
        if not call.abandoned and call.relay.incarnation == call.incarnation:
            call.state = "ended"
            call.relay.on_reply(call, Result.NO_CONNECTION, 0.0, 0.0)

    def close_idle(self, relay: Relay, endpoint: str) -> None:
        """Close the idle connections of a relay to an endpoint."""
        if endpoint in self.world.layout.routes:
            self.world.layout.routes[endpoint].idle_connections.pop((relay.number, relay.incarnation), None)

    def abandon(self, call: Call) -> None:
        """The relay no longer waits for any item of a call; its connection is closed."""
        call.abandoned = True
        if call.state == "queued" and self.group_of(call).cancels == "queued":
            self.clock.call_later(call.one_way_delay, call.route.drop, call)

    # -- at the endpoint ----------------------------------------------------------------------------

    def group_of(self, call: Call):
        """The group of a call's destination."""
        return self.world.layout.group_of(self.destination_of(call))

    def destination_of(self, call: Call) -> int:
        """The destination of a call."""
        return int(self.world.arrivals.destination[call.items[0][0].arrival])

    def on_request(self, call: Call) -> None:
        """The last byte of a call has reached its endpoint."""
        now, unit = self.clock.now, call.route.unit
        if self.never_sent(call, now):
            return
        topic = self.day.topic[call.items[0][0].topic].name
        weight = 1.0 + self.group_of(call).item_cost * (len(call.items) - 1)
        if unit.is_cold(now) and (recent := unit.overloaded_by(call.relay, weight, now)):
            self.world.injector.overload(unit, recent)
        fault = unit.blocking_fault(topic, self.world.uniform) if unit.faults else ""
        if fault in ("vanish", "hang"):
            return  # no answer: the timeout of its relay ends it
        if fault == "refuse" or call.route.status == "gone":
            self.reply(call, Result.BROKEN)  # the process died while the call was in transit
        elif fault == "shut":
            opens = unit.opens_at()
            self.reply(call, Result.FULL, max(0.0, opens - now) if opens else 0.0)
        elif fault == "reset-before":
            self.reply(call, Result.BROKEN)
        elif fault == "error":
            self.clock.call_later(ERROR_DELAY_S, self.reply, call, Result.ERROR)
        else:
            self.admit(call, topic, weight, fault)

    def never_sent(self, call: Call, now: float) -> bool:
        """Whether a call was abandoned before its connection was established."""
        if not (call.abandoned and call.new_connection):
            return False
        return (
            call.sent + TIME_TOLERANCE_S >= call.connected_at and now - call.one_way_delay < call.connected_at
        )

    def admit(self, call: Call, topic: str, weight: float, reply_fault: str) -> None:
        """Admit a call to a slot or the queue, or refuse it at the limit or a full queue."""
        unit, uniform = call.route.unit, self.world.uniform
        accepted, wait = unit.limit.acquire(self.clock.now)
        if not accepted:
            self.reply(call, Result.FULL, wait if uniform() < unit.wait_probability else 0.0)
            return
        arrival = call.items[0][0].arrival
        work = (
            float(self.world.arrivals.work[arrival])
            * self.world.layout.service_times[self.destination_of(call)]
            * weight
        )
        work *= unit.slowdown(topic, uniform) if unit.faults else 1.0
        call.work, call.reply_fault = (
            work + (self.day.network.setup if call.new_connection else 0.0),
            reply_fault,
        )
        if not call.route.enqueue(call):
            self.reply(call, Result.FULL)

    def done(self, call: Call) -> None:
        """A call has run: each of its items has taken effect."""
        now, beneficial = self.clock.now, False
        for submission, _ in call.items:
            self.world.judge.took_effect(submission, call.route, now)
            received = (
                not call.abandoned and not call.reply_fault and call.relay.incarnation == call.incarnation
            )
            if received and self.world.accounts.deliver(submission.arrival, now):
                beneficial = True
                dest = self.world.arrivals.destination[submission.arrival]
                self.world.measured.delivered(
                    dest, self.world.accounts.arrival_second[submission.arrival], now
                )
        if not beneficial:
            self.world.measured.counts["wasted"] += 1
        if call.reply_fault == "lost":
            return
        self.reply(call, Result.BROKEN if call.reply_fault == "reset-after" else Result.DELIVERED)

    # -- replies ------------------------------------------------------------------------------------

    def reply(self, call: Call, result: Result, wait: float = 0.0) -> None:
        """Send a result, or the reset of the connection, to the relay."""
        call.state = "ended"
        if result is Result.FULL:
            self.world.measured.counts["refused"] += 1
            self.world.measured.add("refused", self.clock.now)
        self.clock.call_later(call.one_way_delay, self.on_response, call, result, wait)

    def on_response(self, call: Call, result: Result, wait: float) -> None:
        """A response has reached the relay."""
        relay, route = call.relay, call.route
        if relay.incarnation != call.incarnation or not relay.up or call.abandoned:
            return
        if self.partitions and self.is_partitioned(relay, route):
            return  # lost in transit: the timeout of its relay ends it
        reports_limit = result in (Result.DELIVERED, Result.FULL) and self.group_of(call).limit.report
        limit = reported_limit(route.unit) if reports_limit else 0.0
        if result is not Result.BROKEN and route.status != "gone":
            route.idle_connections.setdefault((relay.number, relay.incarnation), []).append(self.clock.now)
        relay.on_reply(call, result, wait, limit)

    def reset_calls(self, route: Route) -> None:
        """The process of an endpoint has ended: reset the calls that it had."""
        for call in route.crash():
            self.reply(call, Result.BROKEN)


def reported_limit(unit: Unit) -> float:
    """The limit that a response reports, in calls a second; 0 if there is none."""
    return unit.limit.rate if unit.limit.rate < inf else 0.0
