"""How a list is followed: what each asking may wait for, and how long it may take. Pure: a table.

The clock to meet, as the platform sets it: what a watch that fell silent misses counts as told six seconds
after the silence began. A watch is found silent HOLD + GRACE after its asking at most. Then askings wait for
nothing that is new, so that a registry that is back, or silent still, is known GRACE after each of them.
"""

from dataclasses import dataclass

HOLD = 1.5  # seconds a watch may wait: the longest sum (worst) stays under the six, with a moment to spare
GRACE = 1.0  # seconds for an answer beyond that: a relay's own turn, a registry that is busy

# (state, what came) -> next state. A list at another address is another list: it is asked for whole.
FOLLOWING = {
    ("unsure", "told"): "following",
    ("following", "failed"): "unsure",
    ("following", "moved"): "unsure",
}
HOLDS = {"unsure": 0.0, "following": HOLD}  # seconds that an asking may wait for something new


@dataclass
class Following:
    """state: whether the last asking went well; sure_at: when the registry's word was last had."""

    sure_at: float
    state: str = "unsure"

    def heard(self, what: str, now: float) -> None:
        self.state = FOLLOWING.get((self.state, what), self.state)
        self.sure_at = now if what == "told" else self.sure_at

    def hold(self) -> float:
        return HOLDS[self.state]

    def limit(self) -> float:
        """Seconds after which an asking with no answer counts as failed."""
        return HOLDS[self.state] + GRACE


def worst(wait: float) -> float:
    """Seconds, at most, from the beginning of a silence to an answer of the next asking, begun after wait."""
    return HOLD + GRACE + wait + GRACE
