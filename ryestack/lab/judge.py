"""Checks the six rules on a simulated day. The judge sees the true state of the world, not that of a policy.

Each violation names the submission that caused it; a second run of the same seed can trace that submission.
"""

from collections import deque
from dataclasses import dataclass

TOLERANCE_S = 0.05  # past a deadline in which an answer still counts: a round may lie in between
RESTART_GRACE_S = 1.5  # after a restart of a relay in which its answers are not overdue
WITNESSED_SHARE = 2.0 / 3.0  # rule 4: share of the overload from relays that had seen the destination fail


@dataclass(frozen=True, slots=True)
class RuleViolation:
    """rule: 1 to 6; at: seconds; id: the submission or the destination; what: the description,
    part of the summary of a day."""

    rule: int
    at: float
    id: str
    what: str


class Judge:
    """Receives the events of the world as they happen.

    topics: those of the scenario; rules: its parameters of the rules; trace: ids of submissions to trace.
    """

    MAX_KEPT = 1000  # violations kept with a description; all are counted

    def __init__(self, topics, rules, trace=()):
        self.topics, self.rules, self.trace = topics, rules, set(trace)
        self.trace_lines: list[str] = []
        self.violations: list[RuleViolation] = []
        self.counts = dict.fromkeys(range(1, 7), 0)
        self.late_again = 0  # collapsible: pushed within the window, ran after it as the partner was slow
        self.drained: dict = {}  # (relay, endpoint) -> when the change reached the relay
        self.waits: dict = {}  # (relay, unit) -> until
        self.key_queues: dict = {}  # (relay, key) -> open submissions in order
        self.key_rests: dict = {}  # (relay, key) -> (until, the submission whose push may still run)

    def report(self, rule: int, now: float, name: str, what: str) -> None:
        """Count a violation of a rule and keep its description."""
        self.counts[rule] += 1
        if len(self.violations) < self.MAX_KEPT:
            self.violations.append(RuleViolation(rule, now, name, what))

    def trace_event(self, now: float, name: str, what: str) -> None:
        """Add a line to the trace of a submission, if it is traced."""
        if name in self.trace:
            self.trace_lines.append(f"{now:10.4f} {name}: {what}")

    # -- events of a submission ---------------------------------------------------------------------

    def accepted(self, submission, now: float) -> None:
        """The relay has accepted a submission."""
        if self.trace:
            self.trace_event(
                now, submission.id, f"taken by relay {submission.relay.number}, due {submission.due:.3f}"
            )
        if submission.key:
            self.key_queues.setdefault((submission.relay.number, submission.key), deque()).append(submission)

    def pushed(self, submission, push: int, route, now: float) -> None:
        """Check a push that the relay sends."""
        relay = submission.relay
        if self.trace:
            self.trace_event(now, submission.id, f"push {push} to {route.id}")
        if submission.end:
            self.report(1, now, submission.id, f"pushed after its end, {submission.end}")
        elif now > submission.due + TOLERANCE_S:
            self.report(1, now, submission.id, "pushed after its time was up")
        drained_at = self.drained.get((relay.number, route.id))
        if drained_at is not None and now > drained_at + self.rules.grace + TOLERANCE_S:
            self.report(
                3,
                now,
                submission.id,
                f"pushed to {route.id}, told at {drained_at:.3f} that it drains or is gone",
            )
        until = self.waits.get((relay.number, route.unit.name), 0.0)
        if now < until - 1e-6:
            self.report(6, now, submission.id, f"pushed to {route.id}, told to wait until {until:.3f}")
        if (
            submission.first_effect_at >= 0.0
            and now > submission.first_effect_at + self.topics[submission.topic].window + TOLERANCE_S
        ):
            self.report(
                2,
                now,
                submission.id,
                f"collapsible: pushed again outside its window, it ran at {submission.first_effect_at:.3f}",
            )
        if submission.key:
            self.check_key_order(submission, now)

    def check_key_order(self, submission, now: float) -> None:
        """Rule 5: submissions of a key run one after the other."""
        key = (submission.relay.number, submission.key)
        queue = self.key_queues.get(key)
        first = next((h for h in queue or () if not h.end or h.open), submission)
        if first is not submission:
            self.report(5, now, submission.id, f"pushed while {first.id} of its key is not over")
        until, owner = self.key_rests.get(key, (0.0, None))
        if now < until - 1e-6 and owner is not submission:
            self.report(5, now, submission.id, f"pushed while its key rests until {until:.3f}")

    def took_effect(self, submission, route, now: float) -> None:
        """A submission took effect at an endpoint."""
        if self.trace:
            self.trace_event(now, submission.id, f"ran at {route.id}")
        effect = self.topics[submission.topic].effect
        submission.runs += 1
        if effect == "once-only":
            if submission.runs > 1:
                self.report(2, now, submission.id, f"once-only, and it ran {submission.runs} times")
            if submission.end == "throttled":
                self.report(2, now, submission.id, "once-only: it ran, and its client was told to come again")
        elif effect == "collapsible":
            if submission.first_effect_at < 0.0:
                submission.first_effect_at = now
            elif now > submission.first_effect_at + self.topics[submission.topic].window:
                self.late_again += 1

    def answered(self, submission, how: str, now: float) -> None:
        """The relay gives the final answer of a submission: delivered, throttled or expired."""
        if self.trace:
            self.trace_event(now, submission.id, how)
        if submission.end:
            self.report(1, now, submission.id, f"a second end, {how} after {submission.end}")
            return
        submission.end = how
        if now > submission.due + TOLERANCE_S and now > submission.relay.ready_at + RESTART_GRACE_S:
            self.report(1, now, submission.id, f"{how} after its time was up")
        if how == "throttled" and submission.runs and self.topics[submission.topic].effect == "once-only":
            self.report(2, now, submission.id, "once-only: it ran, and its client was told to come again")
        if submission.key and (queue := self.key_queues.get((submission.relay.number, submission.key))):
            while queue and queue[0].end and not queue[0].open:
                queue.popleft()

    def may_still_run(self, submission, now: float) -> None:
        """A push ended and may still run: its key rests."""
        if submission.key:
            self.key_rests[submission.relay.number, submission.key] = now + self.rules.key_rest, submission

    def check_deadline(self, submission, now: float) -> float | None:
        """Check for an answer after the deadline; returns when to check again if a restart extends it."""
        if submission.end or submission.relay.has_lost(submission):
            return None
        if not submission.relay.up:
            return now + 0.5
        if now <= submission.relay.ready_at + RESTART_GRACE_S:
            return submission.relay.ready_at + RESTART_GRACE_S + TOLERANCE_S
        self.report(1, now, submission.id, "taken, and no end when its time was up")
        return None

    # -- knowledge of relays ------------------------------------------------------------------------

    def list_changed(self, relay, endpoint: str, up: bool, now: float) -> None:
        """A change of an endpoint has reached a relay; up: whether it accepts pushes."""
        if up:
            self.drained.pop((relay.number, endpoint), None)
        else:
            self.drained.setdefault((relay.number, endpoint), now)

    def wait_requested(self, relay, unit, until: float) -> None:
        """A relay has received a requested wait."""
        key = (relay.number, unit.name)
        self.waits[key] = max(until, self.waits.get(key, 0.0))

    def restarted(self, relay) -> None:
        """The waits and key order that a relay knew end with its process."""
        for entries in (self.waits, self.key_rests, self.key_queues):
            for key in [k for k in entries if k[0] == relay.number]:
                del entries[key]

    # -- destinations -------------------------------------------------------------------------------

    def overloaded(self, unit, recent: list, now: float) -> None:
        """Rule 4: a cold unit was overloaded by these calls (time, relay, weight)."""
        total = sum(weight for _, _, weight in recent)
        witnessed = sum(weight for _, relay, weight in recent if relay in unit.witnesses)
        if witnessed >= WITNESSED_SHARE * total:
            what = f"pushed over by {total:.1f} calls, {witnessed:.1f} of relays that had seen it fail"
            self.report(4, now, unit.name, what)
