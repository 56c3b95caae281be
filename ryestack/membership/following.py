"""How a list is followed: what each asking may wait for, and how long it may take. Pure: a table.

The clock to meet, as the platform sets it: what the registry had, and could have told, counts as told CLOCK
seconds after that, whatever came between: calls that failed, were refused or given up. So whatever the
decisions say, the next asking begins `rest` seconds after a failure at most. A call that was open when the
registry came back, or fell silent, and the answer to the next one both fit in beside it, each with its grace.
"""

from dataclasses import dataclass

CLOCK, MARGIN = 6.0, 0.5  # seconds; of them, for our own turns and timers
HOLD = 1.5  # seconds a watch may wait
GRACE = 1.0  # seconds for an answer beyond that: a relay's own turn, a registry that is busy

# (state, what came) -> next state. A list at another address is another list: it is asked for whole.
FOLLOWING = {
    ("unsure", "told"): "following",
    ("following", "failed"): "unsure",
    ("following", "moved"): "unsure",
}
HOLDS = {"unsure": 0.0, "following": HOLD}  # seconds that an asking may wait for something new
RESTS = {state: CLOCK - MARGIN - hold - 2 * GRACE for state, hold in HOLDS.items()}  # after a failure in it


@dataclass
class Following:
    """state: whether the last asking went well; sure_at: when the registry's word was last had; rest: seconds
    after the last failure within which the next asking begins."""

    sure_at: float
    state: str = "unsure"
    rest: float = RESTS["unsure"]

    def heard(self, what: str, now: float) -> None:
        self.rest = RESTS[self.state]
        self.state = FOLLOWING.get((self.state, what), self.state)
        self.sure_at = now if what == "told" else self.sure_at

    def hold(self) -> float:
        return HOLDS[self.state]

    def limit(self) -> float:
        """Seconds after which an asking with no answer counts as failed."""
        return HOLDS[self.state] + GRACE
