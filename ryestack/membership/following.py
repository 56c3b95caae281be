"""State machine for following the list: when requests begin, and what each may be answered with. No I/O.

The platform sets a limit on how old the list may be: what the registry had, and could have sent, must be in
force MAX_AGE_S seconds later, even if calls failed, were refused or were given up in between, and however
slowly it answers within ANSWER_S. So a request begins at most REQUEST_INTERVAL_S after the one before it,
whatever became of that and whatever the decision module says; one that the registry can answer is answered
within ANSWER_S. A request that has no answer yet is not given up for the next one: an answer that comes late
is news, and a registry that is only slow is asked no more often than one that fails.
"""

from dataclasses import dataclass
from math import inf

MAX_AGE_S, MARGIN_S = 6.0, 0.5  # the margin, within the age, is for this process's own delays and timers
HOLD_S = 1.5  # that a watch may wait at the registry
GRACE_S = 1.0  # beyond that, for a prompt answer: one that takes longer is reported as missing
ANSWER_S = 2.5  # for the answer of a slow registry, which gives up calls after 2 s itself
REQUEST_INTERVAL_S = MAX_AGE_S - MARGIN_S - ANSWER_S  # between the beginnings of two requests, at most
MIN_REQUEST_INTERVAL_S = 0.1  # where answers or failures come at once; a watch continues within 200 ms
MAX_OPEN_REQUESTS = 3  # the oldest is given up for another one
MAX_ANSWER_S = 20.0  # for an answer that keeps arriving: a list of thousands of endpoints over a slow link

# (state, event) -> next state. A list at another address is another list: it is requested whole. So is a list
# after an answer with an older version than the one in force, which may be a late or repeated answer, after a
# change that gives an endpoint's address to another destination, after the registry's process ended, since
# the next one's versions may be of another history, and at a start that cannot tell which of two lists is the
# newer.
TRANSITIONS = {
    ("unsure", "told"): "following",
    ("doubtful", "told"): "following",
    ("moved", "told"): "following",
    ("following", "late"): "unsure",
    ("doubtful", "late"): "unsure",
    ("moved", "late"): "unsure",
    ("following", "failed"): "unsure",
    ("following", "older"): "doubtful",
    ("unsure", "older"): "doubtful",
    ("following", "disputed"): "doubtful",
    ("following", "restarted"): "doubtful",
    ("unsure", "restarted"): "doubtful",
    ("following", "moved"): "moved",
    ("unsure", "moved"): "moved",
    ("doubtful", "moved"): "moved",
}
HOLD_BY_STATE_S = {  # that a request may wait for something new
    "unsure": 0.0,
    "following": HOLD_S,
    "doubtful": 0.0,
    "moved": 0.0,
}


@dataclass
class WatchState:
    """state: whether the last request succeeded. confirmed_at: when the last answer was requested."""

    confirmed_at: float
    state: str = "unsure"

    def update(self, event: str, now: float) -> None:
        """Take an event into account: "told" or, for an answer that was not prompt, "late"; "failed",
        "moved", "older", "disputed" or, for a failure that shows that a process at the registry's address has
        ended, "restarted".
        """
        self.state = TRANSITIONS.get((self.state, event), self.state)
        self.confirmed_at = now if event in ("told", "late") else self.confirmed_at

    def requests_whole_list(self) -> bool:
        """Whether the next request is for the whole list, not for the changes to the one in force."""
        return self.state in ("doubtful", "moved")

    def hold(self) -> float:
        """Seconds that the next request may wait for something new."""
        return HOLD_BY_STATE_S[self.state]


def believes(version: int, whole: bool, version_in_force: int, asked_whole: bool) -> bool:
    """Whether an answer is put in force.

    A registry that has gone back to older versions says so twice; a late or repeated answer does not.
    """
    return version >= version_in_force or (whole and asked_whole)


def is_prompt(began: float, hold: float, now: float) -> bool:
    """Whether an answer is prompt at that time, of a request that the registry may have held for so long."""
    return now <= began + hold + GRACE_S


class RequestSchedule:
    """When the next request begins, and when the last one's answer is reported as missing.

    Times are seconds of one clock.
    """

    def __init__(self):
        self.began, self.hold, self.arriving_at = -inf, 0.0, -inf
        self.next_at, self.is_pending, self.is_reported = -inf, False, False

    def begin(self, now: float, hold: float) -> None:
        """A request begins that the registry may hold for so long."""
        self.began, self.hold, self.arriving_at = now, hold, -inf
        self.next_at, self.is_pending, self.is_reported = now + REQUEST_INTERVAL_S, True, False

    def arriving(self, now: float) -> None:
        """A part of the last request's answer has arrived."""
        self.arriving_at = now

    def answered(self, is_prompt: bool) -> None:
        """The last request is answered.

        A watch that is answered promptly goes on; a slow registry is asked at the interval.
        """
        self.is_pending, self.is_reported = False, False
        if is_prompt:
            self.hurry()

    def hurry(self) -> None:
        """The next request is due at once."""
        self.next_at = self.began + MIN_REQUEST_INTERVAL_S

    def reported(self) -> None:
        """The decision module was told that the last request has failed, or has no answer yet."""
        self.is_reported = True

    def failed(self) -> None:
        """The last request has failed, which was reported."""
        self.is_pending, self.is_reported = False, True

    def wanted(self, now: float) -> None:
        """The decision module wants the list: at once, if a failure was reported to it."""
        if self.is_reported:
            self.next_at = min(self.next_at, max(now, self.began + MIN_REQUEST_INTERVAL_S))

    def report_at(self) -> float:
        """When the answer of the last request counts as missing; inf if it does not, or was reported."""
        if not self.is_pending or self.is_reported:
            return inf
        return max(self.began + self.hold, self.arriving_at) + GRACE_S

    def due_at(self) -> float:
        """When the next request begins: later if the answer to the last one keeps arriving."""
        if self.is_pending and self.arriving_at + GRACE_S > self.next_at:
            return min(self.arriving_at + GRACE_S, self.began + MAX_ANSWER_S)
        return self.next_at
