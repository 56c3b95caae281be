"""Which other processes of this relay are running during an upgrade, as two state tables. No I/O.

The predecessor is the process that this one replaces, the successor the one that replaces it. Each has its
own state, so that three processes in a row are two such pairs.
"""

# (state, event) -> next state; an event that is not listed changes nothing.
PREDECESSOR = {
    ("none", "found"): "running",
    ("running", "gone"): "none",
}
SUCCESSOR = {
    ("none", "connected"): "starting",  # it does not serve clients yet: a stop still announces itself to them
    ("starting", "serves"): "serving",  # it accepts new connections from now on
    ("starting", "gone"): "none",
    ("serving", "gone"): "none",
}


class Succession:
    """The states of the predecessor and of the successor."""

    def __init__(self):
        self.predecessor, self.successor = "none", "none"

    def on_predecessor(self, event: str) -> None:
        """Apply an event of the predecessor."""
        self.predecessor = PREDECESSOR.get((self.predecessor, event), self.predecessor)

    def on_successor(self, event: str) -> None:
        """Apply an event of the successor."""
        self.successor = SUCCESSOR.get((self.successor, event), self.successor)

    def processes(self) -> int:
        """How many processes share the relay's descriptors and its folder."""
        return 1 + (self.predecessor != "none") + (self.successor != "none")

    def relieved(self) -> bool:
        """Whether the successor serves clients."""
        return self.successor == "serving"
