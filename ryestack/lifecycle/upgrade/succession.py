"""Who else of this relay lives, while one process takes over from another: a table and a short loop, no I/O.

The predecessor is the process before us, the successor the one after us. Each is followed on its own, so that
three in a row are two such pairs.
"""

# (state of the relation, what happened) -> next state; what is not listed changes nothing.
PREDECESSOR = {
    ("none", "found"): "there",
    ("there", "gone"): "none",
}
SUCCESSOR = {
    ("none", "connected"): "starting",  # it lives, and serves nobody yet: a stop is a stop as ever
    ("starting", "serves"): "serving",  # who comes to the door is its concern from here on
    ("starting", "gone"): "none",
    ("serving", "gone"): "none",
}


class Succession:
    def __init__(self):
        self.predecessor, self.successor = "none", "none"

    def predecessor_is(self, what: str) -> None:
        self.predecessor = PREDECESSOR.get((self.predecessor, what), self.predecessor)

    def successor_is(self, what: str) -> None:
        self.successor = SUCCESSOR.get((self.successor, what), self.successor)

    def processes(self) -> int:
        """How many share the relay's descriptors and its folder."""
        return 1 + (self.predecessor != "none") + (self.successor != "none")

    def relieved(self) -> bool:
        """Whether clients are served without us."""
        return self.successor == "serving"
