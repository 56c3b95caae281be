"""Who is there, as one relay has heard it. Pure; a life is a start of a relay, and grows with each."""

from dataclasses import dataclass, field
from math import inf

# (states, input, next state); what is not listed changes nothing.
ROWS = (
    ("unknown quiet gone left", "spoke", "there"),
    ("there", "silent", "quiet"),
    ("quiet", "silent for long", "gone"),
    ("there quiet", "said it leaves", "left"),
)
TABLE = {(state, heard): to for states, heard, to in ROWS for state in states.split()}
DUPLICATE_NAME = "another relay of that name still speaks"
GONE = 10  # times the lease: far past any pause that a take-over has not dealt with
WINDOW = 1024  # numbers back within which a message may come late; what is older counts as doubled


@dataclass
class Peer:
    state: str = "unknown"
    life: int = 0
    heard: float = -inf
    newest: int = 0
    seen: set[int] = field(default_factory=set)


class Roster:
    def __init__(self, names, lease: float):
        self.peers, self.lease, self.turns = {name: Peer() for name in names}, lease, []
        self.known: dict[str, Peer] = {}  # who has ever spoken: few of a thousand share a group with us

    def admit(self, name: str, life: int, number: int, sole: bool, now: float) -> str:
        """Why a message is refused, "" if it is not. sole: its folder proves that no earlier life runs."""
        peer = self.peers.get(name)
        if peer is None:
            return "no relay of that name"
        if life < peer.life:
            return "of a life that is over"
        if life > peer.life:
            if not sole and peer.life and now < peer.heard + self.lease:
                return DUPLICATE_NAME
            peer.life, peer.newest, peer.seen = life, 0, set()
        if number in peer.seen or number <= peer.newest - WINDOW:
            return "said before"
        peer.seen.add(number)
        if number > peer.newest:
            peer.newest = number
            if len(peer.seen) > 2 * WINDOW:
                peer.seen = {n for n in peer.seen if n > number - WINDOW}
        self.spoke(name, now)
        return ""

    def spoke(self, name: str, now: float) -> None:
        self.peers[name].heard = now
        self.known[name] = self.peers[name]
        self.turn(name, "spoke")

    def tick(self, now: float) -> None:
        for name, peer in self.known.items():
            if now >= peer.heard + GONE * self.lease:
                self.turn(name, "silent for long")
            if now >= peer.heard + self.lease:
                self.turn(name, "silent")

    def turn(self, name: str, heard: str) -> None:
        peer = self.peers[name]
        before, peer.state = peer.state, TABLE.get((peer.state, heard), peer.state)
        if peer.state != before:
            self.turns.append((name, peer.state))
