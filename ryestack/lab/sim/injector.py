"""Injects the faults of a day's plan into units, relays, links, the load balancer and the endpoint list."""

from math import ceil, inf

import numpy as np

from ... import interface
from ..scenario import UNIT_FAULTS
from .clients import attempt_of
from .faults import ScheduledFault, draw_value
from .partners import Unit, UnitFault
from .relays import ACCEPT_WHILE_LEAVING_S, SHUTDOWN_TIME_S, Relay, Submission

ORPHAN_ATTEMPT_OFFSET = 100  # added to the attempt number of a lost submission, so that its id differs


class FaultInjector:
    """Schedules and applies each fault of the plan, and ends it after its span."""

    def __init__(self, world):
        self.world, self.day, self.clock = world, world.day, world.clock

    def start(self) -> None:
        """Schedule all faults of the plan."""
        for fault in self.world.plan:
            self.clock.call_at(fault.at, self.begin, fault)

    def begin(self, fault: ScheduledFault) -> None:
        """Start a fault at its time."""
        if fault.kind in UNIT_FAULTS:
            self.start_unit_fault(fault)
        else:
            self.HANDLERS[fault.kind](self, fault)

    # -- units --------------------------------------------------------------------------------------

    def start_unit_fault(self, fault: ScheduledFault) -> None:
        """Apply a fault to units for its span.

        Where a destination has one unit per route, an outage hits all of them, as most real outages do.
        """
        now, layout = self.clock.now, self.world.layout
        until = now + fault.span if fault.kind == "shut" and fault.spec.tells else 0.0
        for dest in fault.destinations:
            for unit in layout.units_of(layout.dest_routes[dest]):
                unit_fault = UnitFault(fault.kind, fault.calls, fault.size, fault.spec.topic, until)
                unit.add_fault(unit_fault, now)
                if fault.kind == "refuse":
                    self.crash_endpoints(unit)
                self.clock.call_later(fault.span, self.end_unit_fault, unit, unit_fault)

    def end_unit_fault(self, unit: Unit, unit_fault: UnitFault) -> None:
        """End a fault of a unit."""
        unit.remove_fault(unit_fault, self.clock.now)

    def crash_endpoints(self, unit: Unit) -> None:
        """The processes of a unit die: their calls and connections are reset."""
        for route in unit.routes:
            self.world.network.reset_calls(route)

    def overload(self, unit: Unit, recent: list) -> None:
        """A cold unit received too much load and goes down; recent: its calls within the window."""
        now = self.clock.now
        self.world.measured.counts["falls"] += 1
        self.world.judge.overloaded(unit, recent, now)
        unit_fault = UnitFault("refuse")
        unit.add_fault(unit_fault, now)
        self.crash_endpoints(unit)
        self.clock.call_later(unit.warm_up.fall, self.end_unit_fault, unit, unit_fault)

    # -- relays -------------------------------------------------------------------------------------

    def kill_all(self, fault: ScheduledFault) -> None:
        """Stop all relays of a fault at once."""
        for number in fault.relays:
            self.stop_relay(self.world.relays[number], fault)

    def roll(self, fault: ScheduledFault) -> None:
        """Restart the relays in batches of `size` (a share if at most 1, else a number) over the span."""
        count = len(fault.relays)
        batch = max(1, round(fault.size * count)) if fault.size <= 1.0 else int(fault.size)
        steps = max(1, ceil(count / batch))
        for i in range(steps):
            for number in fault.relays[i * batch : (i + 1) * batch]:
                relay = self.world.relays[number]
                self.clock.call_later(i * fault.span / steps, self.stop_relay, relay, fault)

    def stop_relay(self, relay: Relay, fault: ScheduledFault) -> None:
        """Kill a relay, or shut it down in order if the restart is planned."""
        if not relay.up or relay.leaving:
            return
        if fault.spec.planned:
            relay.leaving = self.clock.now
            relay.deliver(interface.ShuttingDown(self.clock.now + SHUTDOWN_TIME_S))
            self.clock.call_later(ACCEPT_WHILE_LEAVING_S, self.world.clients.known_dead.add, relay.number)
            self.clock.call_later(SHUTDOWN_TIME_S, self.kill, relay, relay.incarnation, fault)
        else:
            self.kill(relay, relay.incarnation, fault)

    def kill(self, relay: Relay, incarnation: int, fault: ScheduledFault) -> None:
        """End the process of a relay and schedule its restart."""
        if relay.incarnation != incarnation or not relay.up:
            return
        waiting = [event for event in relay.inbox if type(event) is Submission]
        held = relay.terminate()
        clients, lags = self.world.clients, self.world.lags
        for submission in waiting:  # their clients received no answer
            self.clock.call_later(
                self.day.clients.patience, clients.submit, submission.arrival, attempt_of(submission)
            )
        if not fault.spec.folder:
            self.resubmit_orphans(held)
            held = []
        self.clock.call_later(
            draw_value(self.day.fleet.notice, lags), self.mark_dead, relay, relay.incarnation
        )
        self.clock.call_later(fault.down, self.restart, relay, held)

    def resubmit_orphans(self, held: list[Submission]) -> None:
        """The relay has lost these submissions: their clients submit again where a repeat is harmless."""
        for submission in held:
            if (
                submission.first_may_have_run_at() < inf
                and self.day.topic[submission.topic].effect == "once-only"
            ):
                continue  # it may have run, so its client does not repeat it
            self.world.measured.counts["orphans"] += 1
            attempt, delay = (
                attempt_of(submission) + ORPHAN_ATTEMPT_OFFSET,
                draw_value(self.day.clients.orphans, self.world.lags),
            )
            self.clock.call_later(delay, self.world.clients.submit, submission.arrival, attempt)

    def mark_dead(self, relay: Relay, incarnation: int) -> None:
        """The load balancer detects that a relay is dead, unless it has been restarted since."""
        if relay.incarnation == incarnation and not relay.up:
            self.world.clients.known_dead.add(relay.number)

    def restart(self, relay: Relay, held: list[Submission]) -> None:
        """Start a new process of a relay with the submissions recovered from its folder."""
        layout, judge = self.world.layout, self.world.judge
        judge.restarted(relay)
        for unit in layout.units_of(layout.routes.values()):
            unit.witnesses.discard(relay)
        self.world.clients.known_dead.discard(relay.number)
        for submission in held:
            if submission.key:
                judge.accepted(submission, self.clock.now)
        relay.start(held)

    def pause(self, fault: ScheduledFault) -> None:
        """Suspend relays; their events wait meanwhile."""
        for number in fault.relays:
            relay = self.world.relays[number]
            relay.paused_until = max(relay.paused_until, self.clock.now + fault.span)

    # -- load balancer, links and endpoint list -----------------------------------------------------

    def skew(self, fault: ScheduledFault) -> None:
        """The load balancer sends `size` times as much traffic to some relays."""
        weights = np.ones(len(self.world.relays))
        weights[fault.relays] = fault.size
        self.world.clients.cumulative_weights = np.cumsum(weights)
        self.clock.call_later(fault.span, setattr, self.world.clients, "cumulative_weights", None)

    def partition(self, fault: ScheduledFault) -> None:
        """Partition the network: some buildings and their relays are separated from all others."""
        count, partitions = self.day.network.buildings, self.world.network.partitions
        separated = set(range(max(1, round(fault.part * count)))) if count > 1 else {0}
        relays = {r.number for r in self.world.relays if r.building in separated} if count > 1 else set()
        partition = (relays, separated)
        partitions.append(partition)
        self.clock.call_later(fault.span, partitions.remove, partition)

    def slow_handshakes(self, fault: ScheduledFault) -> None:
        """Multiply the duration of handshakes by `size`."""
        self.world.network.handshake_factor *= fault.size
        self.clock.call_later(fault.span, self.restore_handshakes, fault.size)

    def restore_handshakes(self, size: float) -> None:
        """Undo slow_handshakes."""
        self.world.network.handshake_factor /= size

    def delay_list(self, fault: ScheduledFault) -> None:
        """Add `size` seconds to the lag of list changes."""
        self.world.registry.extra_lag += fault.size
        self.clock.call_later(fault.span, self.restore_list, fault.size)

    def restore_list(self, size: float) -> None:
        """Undo delay_list."""
        self.world.registry.extra_lag -= size

    def replace(self, fault: ScheduledFault) -> None:
        """Replace the endpoints of the destinations over the span."""
        self.world.registry.replace(fault.destinations, fault.span)

    def clump(self, fault: ScheduledFault) -> None:
        """Nothing to do: the arrivals of a clump are drawn with those of the day."""

    HANDLERS = {
        "kill": kill_all,
        "roll": roll,
        "pause": pause,
        "skew": skew,
        "cut": partition,
        "stale": delay_list,
        "replace": replace,
        "clump": clump,
        "handshake": slow_handshakes,
    }
