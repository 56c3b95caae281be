"""The six rules as a judge of a simulated day. It sees the world's truth, and never what a policy holds.

Each broken rule is told with the hand-in that broke it; a second run of the same seed traces that one's life.
"""

from collections import deque
from dataclasses import dataclass

LATE = 0.05  # seconds past its time in which an end still counts: a round may lie in between
GRACE_AGAIN = 1.5  # seconds after a relay is ready again in which what it owes is not overdue
SEEN = 2.0 / 3.0  # of a load that pushed a destination over: rule 4's clause


@dataclass(frozen=True, slots=True)
class RuleViolation:
    """rule: 1 to 6; id: the hand-in, or the destination; what: in words."""

    rule: int
    at: float
    id: str
    what: str


class Judge:
    """The world tells it what happens, as it happens.

    topics: the scenario's; rules: its figures; trace: ids whose lives are written down.
    """

    MOST = 1000  # broken rules kept in words; all are counted

    def __init__(self, topics, rules, trace=()):
        self.topics, self.rules, self.trace = topics, rules, set(trace)
        self.trace_lines: list[str] = []
        self.violations: list[RuleViolation] = []
        self.counts = dict.fromkeys(range(1, 7), 0)
        self.late_again = (
            0  # collapsible ones that were pushed in their window and ran past it: the partner was slow
        )
        self.drained: dict = {}  # (relay, endpoint) -> when it was told
        self.waits: dict = {}  # (relay, unit) -> until
        self.turns: dict = {}  # (relay, key) -> hand-ins in order, of those not over
        self.rests: dict = {}  # (relay, key) -> (until, the hand-in whose push may still run)

    def fault(self, rule: int, now: float, name: str, what: str) -> None:
        self.counts[rule] += 1
        if len(self.violations) < self.MOST:
            self.violations.append(RuleViolation(rule, now, name, what))

    def note(self, now: float, name: str, what: str) -> None:
        if name in self.trace:
            self.trace_lines.append(f"{now:10.4f} {name}: {what}")

    # -- the life of a hand-in ----------------------------------------------------------------------

    def taken(self, hand, now: float) -> None:
        if self.trace:
            self.note(now, hand.id, f"taken by relay {hand.relay.number}, due {hand.due:.3f}")
        if hand.order:
            self.turns.setdefault((hand.relay.number, hand.order), deque()).append(hand)

    def pushed(self, hand, push: int, route, now: float) -> None:
        """Its relay sends it, rightly or not."""
        relay = hand.relay
        if self.trace:
            self.note(now, hand.id, f"push {push} to {route.id}")
        if hand.end:
            self.fault(1, now, hand.id, f"pushed after its end, {hand.end}")
        elif now > hand.due + LATE:
            self.fault(1, now, hand.id, "pushed after its time was up")
        told = self.drained.get((relay.number, route.id))
        if told is not None and now > told + self.rules.grace + LATE:
            self.fault(3, now, hand.id, f"pushed to {route.id}, told at {told:.3f} that it drains or is gone")
        until = self.waits.get((relay.number, route.unit.name), 0.0)
        if now < until - 1e-6:
            self.fault(6, now, hand.id, f"pushed to {route.id}, told to wait until {until:.3f}")
        if hand.counted >= 0.0 and now > hand.counted + self.topics[hand.topic].window + LATE:
            self.fault(
                2, now, hand.id, f"collapsible: pushed again outside its window, it ran at {hand.counted:.3f}"
            )
        if hand.order:
            self.in_turn(hand, now)

    def in_turn(self, hand, now: float) -> None:
        place = (hand.relay.number, hand.order)
        turns = self.turns.get(place)
        first = next((h for h in turns or () if not h.end or h.open), hand)
        if first is not hand:
            self.fault(5, now, hand.id, f"pushed while {first.id} of its key is not over")
        until, whose = self.rests.get(place, (0.0, None))
        if now < until - 1e-6 and whose is not hand:
            self.fault(5, now, hand.id, f"pushed while its key rests until {until:.3f}")

    def ran(self, hand, route, now: float) -> None:
        """It took effect at an endpoint."""
        if self.trace:
            self.note(now, hand.id, f"ran at {route.id}")
        effect = self.topics[hand.topic].effect
        hand.runs += 1
        if effect == "once-only":
            if hand.runs > 1:
                self.fault(2, now, hand.id, f"once-only, and it ran {hand.runs} times")
            if hand.end == "throttled":
                self.fault(2, now, hand.id, "once-only: it ran, and its client was told to come again")
        elif effect == "collapsible":
            if hand.counted < 0.0:
                hand.counted = now
            elif now > hand.counted + self.topics[hand.topic].window:
                self.late_again += 1

    def ended(self, hand, how: str, now: float) -> None:
        """Its relay gives its final answer: delivered, throttled or expired."""
        if self.trace:
            self.note(now, hand.id, how)
        if hand.end:
            self.fault(1, now, hand.id, f"a second end, {how} after {hand.end}")
            return
        hand.end = how
        if now > hand.due + LATE and now > hand.relay.ready_at + GRACE_AGAIN:
            self.fault(1, now, hand.id, f"{how} after its time was up")
        if how == "throttled" and hand.runs and self.topics[hand.topic].effect == "once-only":
            self.fault(2, now, hand.id, "once-only: it ran, and its client was told to come again")
        if hand.order and (turns := self.turns.get((hand.relay.number, hand.order))):
            while turns and turns[0].end and not turns[0].open:
                turns.popleft()

    def may_still_run(self, hand, now: float) -> None:
        """A push ended without a word on whether it ran: its key rests."""
        if hand.order:
            self.rests[hand.relay.number, hand.order] = now + self.rules.key_rest, hand

    def overdue(self, hand, now: float) -> float | None:
        """Its time is up; when to look again, if its relay's restart gives it longer."""
        if hand.end or hand.relay.forgot(hand):
            return None
        if not hand.relay.up:
            return now + 0.5
        if now <= hand.relay.ready_at + GRACE_AGAIN:
            return hand.relay.ready_at + GRACE_AGAIN + LATE
        self.fault(1, now, hand.id, "taken, and no end when its time was up")
        return None

    # -- what relays are told -----------------------------------------------------------------------

    def listed(self, relay, endpoint: str, up: bool, now: float) -> None:
        if up:
            self.drained.pop((relay.number, endpoint), None)
        else:
            self.drained.setdefault((relay.number, endpoint), now)

    def wait(self, relay, unit, until: float) -> None:
        place = (relay.number, unit.name)
        self.waits[place] = max(until, self.waits.get(place, 0.0))

    def restarted(self, relay) -> None:
        """What it was told to wait, and its turns, ended with its process."""
        for held in (self.waits, self.rests, self.turns):
            for place in [p for p in held if p[0] == relay.number]:
                del held[place]

    # -- destinations -------------------------------------------------------------------------------

    def fell(self, unit, recent: list, now: float) -> None:
        """A cold unit was pushed over by these (time, relay, weight)."""
        whole = sum(weight for _, _, weight in recent)
        seen = sum(weight for _, relay, weight in recent if relay in unit.witnesses)
        if seen >= SEEN * whole:
            what = f"pushed over by {whole:.1f} calls, {seen:.1f} of relays that had seen it fail"
            self.fault(4, now, unit.name, what)
