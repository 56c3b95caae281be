"""The partner of an outage play: how it answers while it is away and after, and its book. Pure."""

from collections import deque
from dataclasses import dataclass, field
from enum import Enum
from random import Random

from ...interface import Result
from .budget import SlowStart, bound


class Away(Enum):
    """How a partner is away."""

    REFUSES = "refuses, no wait told"
    REFUSES_WITH_WAIT = "refuses, a wait of 1 to 1.9 s told"
    REFUSES_UNTIL_RETURN = "refuses, the told wait ends with the outage"
    REFUSES_MOST = "refuses four calls in five"
    ERRORS = "answers errors"
    RESETS = "resets connections"
    NO_CONNECTION = "refuses connections"
    HANGS = "never answers"
    VANISHES = "connections never come up"
    FAILS_MOST = "fails four calls in five"
    TURNS = "refuses and answers errors in turns of a second"
    HELD = "a link holds what is sent, and hands it over at the end"
    NEVER = "is not away"


SHUT = (Away.REFUSES, Away.REFUSES_WITH_WAIT, Away.REFUSES_UNTIL_RETURN)
MOST = 0.8  # share of the calls that fail or are refused where most are
SHORT_WAIT_S = (1.0, 1.9)
MAX_WAIT_S = 2.0  # of a told wait that ends with the outage
ANSWER_S = (0.03, 0.15)  # from the decision to the answer
CONNECT_TIMEOUT_S = 1.0
FALLEN_S = 5.0  # for which an overload takes it down


@dataclass(frozen=True, slots=True)
class Answer:
    """result: None for none; after: seconds from the call's arrival; wait: seconds told; limit, limit_left:
    as reported, 0 and 1 if not."""

    result: Result | None
    after: float
    wait: float = 0.0
    limit: float = 0.0
    limit_left: float = 1.0


@dataclass(slots=True)
class Partner:
    """One partner. capacity: calls a second; begin, end: seconds of its outage; refuses: share of calls that
    it refuses at random at any other time; limited: whether it refuses calls above its capacity; reports:
    whether answers report its limit; waits: whether what it refuses while it is not away has a wait;
    span: seconds over which the calls that it takes are limited;
    reported_factor: the limit that it reports, over its capacity."""

    capacity: float
    away: Away
    begin: float
    end: float
    rng: Random
    slow_start: SlowStart = SlowStart()
    refuses: float = 0.0
    limited: bool = False
    reports: bool = False
    waits: bool = False
    span: float = 1.0
    reported_factor: float = 1.0
    received: list[tuple[float, int]] = field(default_factory=list)  # all calls: time, relay
    notified: set[int] = field(default_factory=set)  # relays with a failed or refused call in the outage
    cold: deque[float] = field(default_factory=deque)  # calls of the last window since its return
    returned_at: float = 0.0  # from the outage, or from its last fall
    recent: deque[float] = field(default_factory=deque)  # calls of the last span

    def call(self, now: float, relay: int) -> Answer:
        """Answers a call that arrives now."""
        self.received.append((now, relay))
        if self.away is Away.NEVER or now < self.begin:
            return self.answer_here(now)
        if now >= self.end:
            return self.answer_here(now) if self.is_up(now) else Answer(Result.NO_CONNECTION, ANSWER_S[0])
        answer = self.answer_away(now)
        if answer.result is not Result.DELIVERED:
            self.notified.add(relay)
        return answer

    def is_up(self, now: float) -> bool:
        """Counts a call after the outage; whether it is answered: an overload takes the partner down."""
        rules = self.slow_start
        since = now - max(self.end, self.returned_at)
        if since < 0.0:
            return False
        self.cold.append(now)
        while self.cold[0] <= now - rules.window:
            self.cold.popleft()
        if since > rules.seconds or len(self.cold) <= bound(rules.allowed(self.capacity, since)):
            return True
        self.returned_at = now + FALLEN_S
        self.cold.clear()
        return False

    def answer_here(self, now: float) -> Answer:
        """Its answer while it is not away."""
        while self.recent and self.recent[0] <= now - self.span:
            self.recent.popleft()
        full = self.limited and len(self.recent) >= self.capacity * self.span
        if not full:
            self.recent.append(now)
        left = max(0.0, 1.0 - len(self.recent) / (self.capacity * self.span)) if self.limited else 1.0
        report = {"limit": self.capacity * self.reported_factor, "limit_left": left} if self.reports else {}
        refused = full or self.rng.random() < self.refuses
        wait = 0.0
        if refused and self.waits:
            wait = self.recent[0] + self.span - now if full else self.rng.uniform(*SHORT_WAIT_S)
        result = Result.FULL if refused else Result.DELIVERED
        return Answer(result, self.rng.uniform(*ANSWER_S), wait, **report)

    def answer_away(self, now: float) -> Answer:
        """Its answer in the outage."""
        after = self.rng.uniform(*ANSWER_S)
        if self.away in (Away.REFUSES_MOST, Away.FAILS_MOST) and self.rng.random() > MOST:
            return Answer(Result.DELIVERED, after)
        if self.away is Away.REFUSES_WITH_WAIT:
            return Answer(Result.FULL, after, self.rng.uniform(*SHORT_WAIT_S))
        if self.away is Away.REFUSES_UNTIL_RETURN:
            return Answer(Result.FULL, after, max(0.001, min(MAX_WAIT_S, self.end - now - after)))
        if self.away is Away.VANISHES:
            return Answer(Result.NO_CONNECTION, CONNECT_TIMEOUT_S)
        if self.away is Away.TURNS:
            return Answer(Result.FULL if int(now) % 2 else Result.ERROR, after)
        return Answer(RESULTS[self.away], after)


RESULTS = {
    Away.REFUSES: Result.FULL,
    Away.REFUSES_MOST: Result.FULL,
    Away.ERRORS: Result.ERROR,
    Away.FAILS_MOST: Result.ERROR,
    Away.RESETS: Result.BROKEN,
    Away.NO_CONNECTION: Result.NO_CONNECTION,
    Away.HANGS: None,
}
