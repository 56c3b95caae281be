"""An emulated relay: the event loop around a policy, its slots, its open notifications and its restarts.

It acts in the same order as `lifecycle/owner.py` does on sockets: final answers, acceptances, cancellations,
pushes. Open notifications are kept as in the ledger: a push without an outcome may have run.
"""

from math import inf
from time import perf_counter

from ... import interface
from ...brain import NEVER_RAN
from ...interface import Result

TIMER_FIRED = interface.TimerFired()
MAY_STILL_RUN = {Result.TIMED_OUT, Result.BROKEN, Result.CANCELLED}
SHUTDOWN_TIME_S = 3.2  # from the shutdown request to the exit
ACCEPT_WHILE_LEAVING_S = 0.45  # from the shutdown request to the last acceptance


class Submission:
    """One submission of an arrival, by its index; open: push -> when it was sent."""

    __slots__ = (
        "arrival", "due", "end", "first_effect_at", "id", "key", "may_have_run_at", "open", "pushes", "relay",
        "runs", "topic",
    )  # fmt: skip

    def __init__(self, name: str, arrival: int, topic: int, due: float, key: str):
        self.id, self.arrival, self.topic, self.due, self.key = name, arrival, topic, due, key
        self.pushes, self.may_have_run_at, self.open = 0, inf, {}
        self.end, self.runs, self.first_effect_at, self.relay = "", 0, -1.0, None

    def first_may_have_run_at(self) -> float:
        return min([self.may_have_run_at, *self.open.values()])


class Relay:
    """A relay with a policy; restarts give it a new incarnation."""

    def __init__(self, world, number: int, building: int, settings: interface.Settings, policy, seed: int):
        self.world, self.number, self.building = world, number, building
        self.settings, self.policy, self.seed = settings, policy, seed
        self.up, self.leaving, self.incarnation, self.ready_at = True, False, 0, 0.0
        self.inbox, self.scheduled, self.free_at, self.paused_until = [], False, 0.0, 0.0
        self.held: dict[str, Submission] = {}
        self.in_flight: dict[tuple[str, int], object] = {}  # (id, push) -> its call
        self.slots, self.endpoints, self.brain = settings.slots, {}, None
        self.policy_seconds = 0.0

    def start(self, recovered: list[Submission]) -> None:
        """Start a process with the last known list and the notifications recovered from its folder."""
        now = self.world.clock.now
        self.up, self.leaving, self.ready_at = True, False, now
        self.slots, self.inbox, self.scheduled = self.settings.slots, [], False
        self.brain = self.policy(self.settings, self.seed + 7919 * self.incarnation)
        if hasattr(self.brain, "observe_world"):
            self.brain.observe_world(self.world, self)
        self.held = {submission.id: submission for submission in recovered}
        events = [interface.ListUpdate(tuple(self.endpoints.values()), whole=True)]
        for submission in recovered:
            submission.may_have_run_at, submission.open = submission.first_may_have_run_at(), {}
            events.append(self.world.clients.notification(submission))
        self.apply(events, self.run_policy(events), {})

    def terminate(self) -> list[Submission]:
        """End the process; returns its open notifications."""
        self.up, self.incarnation = False, self.incarnation + 1
        held, self.held = list(self.held.values()), {}
        self.in_flight.clear()
        self.brain = None
        return held

    def has_lost(self, submission: Submission) -> bool:
        """Whether a kill without its folder has released the relay from answering a submission."""
        return self.up and submission.id not in self.held

    # -- event queue --------------------------------------------------------------------------------

    def deliver(self, event) -> None:
        self.inbox.append(event)
        if not self.scheduled:
            self.scheduled = True
            self.world.clock.call_at(max(self.free_at, self.paused_until), self.round, self.incarnation)

    def on_timer(self, incarnation: int) -> None:
        if incarnation == self.incarnation and self.up:
            self.deliver(TIMER_FIRED)

    def round(self, incarnation: int) -> None:
        if incarnation != self.incarnation or not self.up:
            return
        now = self.world.clock.now
        if now < self.paused_until:
            self.world.clock.call_at(self.paused_until, self.round, incarnation)
            return
        self.scheduled = False
        events, self.inbox = self.inbox, []
        inputs, new, max_open = [], {}, self.settings.max_open
        for event in events:
            kind = type(event)
            if kind is Submission:
                if len(self.held) + len(new) >= max_open:
                    self.world.clients.turned_away(event)
                    continue
                new[event.id] = event
                inputs.append(self.world.clients.notification(event))
            else:
                if kind is interface.Outcome:
                    self.record_outcome(event, now)
                inputs.append(event)
        self.apply(inputs, self.run_policy(inputs), new)

    def run_policy(self, events: list) -> list:
        began = perf_counter()
        actions = self.brain.round(self.world.clock.now, events)
        self.policy_seconds += perf_counter() - began
        return actions

    def record_outcome(self, outcome: interface.Outcome, now: float) -> None:
        """Keep the history as the ledger does, and report to the judge what the relay now knows."""
        submission, judge = self.held.get(outcome.id), self.world.judge
        unit = self.world.layout.routes[outcome.endpoint].unit
        if outcome.wait > 0.0:
            judge.wait_requested(self, unit, now + outcome.wait)
        if outcome.result is not Result.DELIVERED and outcome.result is not Result.NOT_SENT and unit.out:
            unit.witnesses.add(self)
        if submission is None:
            return
        sent = submission.open.pop(outcome.push, inf)
        if outcome.result is Result.DELIVERED or outcome.ended:
            del self.held[outcome.id]
            judge.answered(submission, "delivered", now)
        elif outcome.result not in NEVER_RAN:
            submission.may_have_run_at = min(submission.may_have_run_at, sent)
            if outcome.result in MAY_STILL_RUN:
                judge.may_still_run(submission, now)

    def apply(self, inputs: list, actions: list, new: dict[str, Submission]) -> None:
        world, now = self.world, self.world.clock.now
        answers, cancels, pushes, timers = [], [], [], []
        for action in actions:
            kind = type(action)
            if kind is interface.Push:
                pushes.append(action)
            elif kind is interface.SetTimer:
                timers.append(action)
            elif kind is interface.Cancel:
                cancels.append(action)
            elif kind is interface.CloseIdleConnections:
                world.network.close_idle(self, action.endpoint)
            elif kind not in (interface.AskForList, interface.CancelUnsent):
                answers.append(action)
        fleet = world.day.fleet
        cost = fleet.cpu_round + fleet.cpu_event * (len(inputs) + len(pushes))
        self.free_at = now + max(cost, self.settings.quantum)
        answered = set()
        for action in answers:
            submission = new.pop(action.id, None) or self.held.pop(action.id, None)
            if submission is not None:
                answered.add(action.id)
                submission.relay = self
                self.finish(submission, action, now)
        for submission in new.values():
            submission.relay = self
            self.held[submission.id] = submission
            world.clients.accepted(submission)
        for action in cancels:
            self.give_up(action.id, action.push, Result.CANCELLED)
        if pushes:
            self.push(pushes, answered, now, cost)
        for action in timers:
            world.clock.call_later(action.after, self.on_timer, self.incarnation)

    def finish(self, submission: Submission, action, now: float) -> None:
        throttled = type(action) is interface.Throttle
        self.world.judge.answered(submission, "throttled" if throttled else "expired", now)
        self.world.clients.undelivered(submission, throttled, action.retry_after if throttled else 0.0)

    def push(self, pushes: list[interface.Push], answered: set, now: float, cost: float) -> None:
        """Send the pushes of one round; those to one endpoint share calls, up to its batch size."""
        calls: dict[str, list] = {}
        for push in pushes:
            submission = self.held.get(push.id)
            if submission is None:
                if push.id in answered:
                    self.world.judge.report(1, now, push.id, "pushed in the round that ended it")
                self.deliver(interface.Outcome(push.id, 0, push.endpoint, Result.NOT_SENT, ended=True))
                continue
            number = submission.pushes
            submission.pushes += 1
            if number >= self.settings.max_pushes:
                self.deliver(interface.Outcome(push.id, number, push.endpoint, Result.NOT_SENT))
                continue
            calls.setdefault(push.endpoint, []).append((submission, number, push.timeout))
        for endpoint, items in calls.items():
            route = self.world.layout.routes.get(endpoint)
            batch = self.world.layout.batches[endpoint]
            for start in range(0, len(items), batch):
                self.start_call(route, items[start : start + batch], now, cost)

    def start_call(self, route, items: list, now: float, cost: float) -> None:
        if self.slots <= 0:
            for submission, number, _ in items:
                self.deliver(interface.Outcome(submission.id, number, route.id, Result.NOT_SENT))
            return
        self.slots -= 1
        for submission, number, _ in items:
            submission.open[number] = now
            self.world.judge.pushed(submission, number, route, now)
        call = self.world.network.send(self, route, [(s, number) for s, number, _ in items], now, cost)
        in_flight, call_at = self.in_flight, self.world.clock.call_at
        for submission, number, timeout in items:
            in_flight[submission.id, number] = call
            if timeout < inf:
                call_at(now + timeout, self.time_out, self.incarnation, submission.id, number)

    # -- outcomes -----------------------------------------------------------------------------------

    def time_out(self, incarnation: int, name: str, push: int) -> None:
        if incarnation == self.incarnation and (name, push) in self.in_flight:
            self.give_up(name, push, Result.TIMED_OUT)

    def give_up(self, name: str, push: int, result: Result) -> None:
        call = self.in_flight.pop((name, push), None)
        if call is None:
            return
        now = self.world.clock.now
        if now < call.connected_at:
            result = Result.NO_CONNECTION
        self.release(call)
        self.deliver(interface.Outcome(name, push, call.route.id, result, now - call.sent))

    def release(self, call) -> None:
        """An item of a call has its outcome; the last one frees the slot."""
        call.pending -= 1
        if not call.pending:
            self.slots += 1
            self.world.network.abandon(call)

    def on_reply(self, call, result: Result, wait: float, limit: float) -> None:
        route, now, reported = call.route.id, self.world.clock.now, False
        for submission, push in call.items:
            if self.in_flight.pop((submission.id, push), None) is not None:
                call.pending -= 1
                reported = True
                self.deliver(
                    interface.Outcome(submission.id, push, route, result, now - call.sent, False, wait, limit)
                )
        if reported and not call.pending:
            self.slots += 1
