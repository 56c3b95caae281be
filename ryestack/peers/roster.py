"""Reachability of the other relays, as seen by this one. Pure.

A life is one start of a relay; its number grows with each start.
"""

from dataclasses import dataclass, field
from math import inf

# (states, input, next state); other combinations change nothing.
ROWS = (
    ("unknown quiet gone left", "message received", "there"),
    ("there", "silent for a lease", "quiet"),
    ("quiet", "silent for long", "gone"),
    ("there quiet", "announced its stop", "left"),
)
TABLE = {(state, cause): to for states, cause, to in ROWS for state in states.split()}
DUPLICATE_NAME = "another relay of that name still speaks"
GONE_LEASES = 10  # far longer than any pause that a take-over has not dealt with
REORDER_WINDOW = 1024  # message numbers; a message that arrives later than that counts as a duplicate


@dataclass
class Peer:
    """state: see ROWS; life, newest and seen: its current life, and the message numbers received in it."""

    state: str = "unknown"
    life: int = 0
    last_received: float = -inf
    newest: int = 0
    seen: set[int] = field(default_factory=set)


class Roster:
    """The state of each peer; `transitions` collects (name, new state) for the caller to take.

    lease: seconds of silence after which a peer counts as quiet.
    """

    def __init__(self, names, lease: float):
        self.peers, self.lease, self.transitions = {name: Peer() for name in names}, lease, []
        # Peers that have ever sent a message: in a cluster of a thousand, few share a group with this relay.
        self.known: dict[str, Peer] = {}

    def admit(self, name: str, life: int, number: int, sole: bool, now: float) -> str:
        """The reason for refusing a message, "" if it is admitted.

        sole: the sender's state folder proves that no earlier life of it is running.
        """
        peer = self.peers.get(name)
        if peer is None:
            return "no relay of that name"
        if life < peer.life:
            return "of a life that is over"
        if life > peer.life:
            if not sole and peer.life and now < peer.last_received + self.lease:
                return DUPLICATE_NAME
            peer.life, peer.newest, peer.seen = life, 0, set()
        if number in peer.seen or number <= peer.newest - REORDER_WINDOW:
            return "said before"
        peer.seen.add(number)
        if number > peer.newest:
            peer.newest = number
            if len(peer.seen) > 2 * REORDER_WINDOW:
                peer.seen = {n for n in peer.seen if n > number - REORDER_WINDOW}
        self.record_contact(name, now)
        return ""

    def is_current(self, name: str, life: int, sole: bool) -> bool:
        """Whether a reply is of the life that was admitted, or of one that is proven to have replaced it.

        Another life answers at the address of the one before it: that one is silent all the same.
        """
        peer = self.peers[name]
        return not peer.life or life == peer.life or (sole and life > peer.life)

    def record_contact(self, name: str, now: float) -> None:
        """A message from that peer, request or reply, has arrived."""
        self.peers[name].last_received = now
        self.known[name] = self.peers[name]
        self.transition(name, "message received")

    def tick(self, now: float) -> None:
        """Moves peers that have been silent to quiet, then to gone."""
        for name, peer in self.known.items():
            if now >= peer.last_received + GONE_LEASES * self.lease:
                self.transition(name, "silent for long")
            if now >= peer.last_received + self.lease:
                self.transition(name, "silent for a lease")

    def transition(self, name: str, cause: str) -> None:
        peer = self.peers[name]
        before, peer.state = peer.state, TABLE.get((peer.state, cause), peer.state)
        if peer.state != before:
            self.transitions.append((name, peer.state))
