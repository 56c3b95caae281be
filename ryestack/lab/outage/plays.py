"""Plan and result of an outage play in simulated time. Pure."""

from dataclasses import dataclass
from math import inf

from .budget import Overload, SlowStart
from .partner import Away


@dataclass(frozen=True, slots=True)
class OutagePlay:
    """One play.

    capacity: calls a second; load: messages handed in, as a part of it; even: whether all relays get as many;
    begin, end: seconds of the outage; seconds: of hand-ins; killed: part of the relays that are killed once,
    with their folder or (forgets) without; refuses, limited, reports, waits, span: as in Partner; reloads:
    whether settings change in the outage; replaces: whether one endpoint is replaced in it; killed_after:
    seconds from the return to the kills, None: at random in the outage; save_interval: between two saves of
    the learned state, 0: it is saved at the kill; saves_until: when the last of these saves is made;
    reported_factor: reported limit over the capacity; drops_given_up: whether a call that its relay has ended
    never arrives, though a link still held it.
    """

    seed: int
    away: Away
    relays: int = 40
    capacity: float = 10.0
    load: float = 0.7
    even: bool = False
    per_route: bool = False
    begin: float = 2.0
    end: float = 10.0
    seconds: float = 20.0
    killed: float = 0.0
    forgets: bool = False
    refuses: float = 0.0
    limited: bool = False
    reports: bool = False
    waits: bool = False
    span: float = 1.0
    reloads: bool = False
    replaces: bool = False
    killed_after: float | None = None
    save_interval: float = 0.0
    saves_until: float = inf
    reported_factor: float = 1.0
    drops_given_up: bool = True
    slow_start: SlowStart = SlowStart()


@dataclass(frozen=True, slots=True)
class PlayResult:
    """handed_in, delivered: messages; early: the same of those handed in before the return; wait: mean
    seconds until a delivery; calls: that the partner received in all."""

    overload: Overload
    handed_in: int
    delivered: int
    early: tuple[int, int]
    wait: float
    calls: int

    @property
    def delivered_share(self) -> float:
        """The part of all messages that was delivered."""
        return self.delivered / max(1, self.handed_in)
