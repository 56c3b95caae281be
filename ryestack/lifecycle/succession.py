"""Who else of this relay lives, while one process takes over from another: a table and a short loop, no I/O.

The elder is the process before us, the heir the one after us. Each is followed on its own, so that three in a
row are two such pairs.
"""

# (state of the relation, what happened) -> next state; what is not listed changes nothing.
ELDER = {
    ("none", "found"): "there",
    ("there", "gone"): "none",
}
HEIR = {
    ("none", "hailed"): "starting",  # it lives, and serves nobody yet: a stop is a stop as ever
    ("starting", "serves"): "serving",  # who comes to the door is its concern from here on
    ("starting", "gone"): "none",
    ("serving", "gone"): "none",
}


class Succession:
    def __init__(self):
        self.elder, self.heir = "none", "none"

    def elder_is(self, what: str) -> None:
        self.elder = ELDER.get((self.elder, what), self.elder)

    def heir_is(self, what: str) -> None:
        self.heir = HEIR.get((self.heir, what), self.heir)

    def processes(self) -> int:
        """How many share the relay's descriptors and its folder."""
        return 1 + (self.elder != "none") + (self.heir != "none")

    def relieved(self) -> bool:
        """Whether clients are served without us."""
        return self.heir == "serving"
