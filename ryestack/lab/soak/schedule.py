"""Draws what happens in a soak test: several tracks of troubles side by side, so that two or three overlap.

Pure: the same seed gives the same schedule.
"""

from random import Random

from .model import OF_PARTNERS, OF_RELAYS, RESTARTS, Kind, Trouble

TRACKS = 3  # troubles that may overlap, beside what clients do all the time
CALM_START, CALM_END = 2.0, 6.0  # seconds without a new trouble
GAP = (0.1, 1.0)  # seconds between two troubles of a track
SPAN = {  # seconds that a trouble lasts
    Kind.KILL: (0.6, 0.7),
    Kind.STOP: (3.8, 4.4),
    Kind.UPGRADE: (4.5, 6.0),
    Kind.RELOAD: (0.5, 2.0),
    Kind.PAUSE: (0.5, 2.0),
    Kind.CLOCK_STEP: (0.2, 1.0),
    Kind.PARTNER_OUTAGE: (2.5, 5.0),
    Kind.DRAIN: (3.0, 6.0),
}
USUAL_SPAN = (1.0, 4.0)
CLOCK_STEPS = (-3600.0, -5.0, -1.0, 1.0, 5.0, 3600.0)
PAUSES = (0.05, 0.15)  # seconds that a relay is held up at once
FAILING = {  # part of the system calls that fail
    Kind.DISK_FAILS: (0.05, 1.0),
    Kind.DISK_SHORT: (0.05, 0.5),
    Kind.ACCEPT_FAILS: (0.05, 0.5),
    Kind.CONNECT_FAILS: (0.05, 0.5),
    Kind.SOCKET_IO: (0.2, 0.9),
    Kind.CONNECTIONS_BREAK: (0.002, 0.02),
}
# A restart while its own troubles go on is what breaks software of this kind: it is drawn more often.
WEIGHTS = {kind: 3.0 for kind in RESTARTS} | {Kind.CLOCK_STEP: 2.0, Kind.DISK_FAILS: 2.0}
FOCUS = 0.5  # of the troubles strike the relay or partner of this test's focus, so that they meet


def draw(seed: int, seconds: float, relays: int, partners: int) -> list[Trouble]:
    """All troubles in order of their beginning."""
    chance = Random(f"soak {seed}")
    focus = {"relay": chance.randrange(relays), "partner": chance.randrange(partners)}
    found: list[Trouble] = []
    for _ in range(TRACKS):
        now = CALM_START + chance.uniform(0.0, 2.0)
        while now < seconds - CALM_END:
            trouble = _one(chance, now, relays, partners, focus)
            if not _collides(trouble, found):
                found.append(trouble)
                now = trouble.end()
            now += chance.uniform(*GAP)
    return sorted(found, key=lambda trouble: trouble.begin)


def _one(chance: Random, now: float, relays: int, partners: int, focus: dict[str, int]) -> Trouble:
    kinds = list(Kind)
    kind = chance.choices(kinds, [WEIGHTS.get(each, 1.0) for each in kinds])[0]
    focused = chance.random() < FOCUS
    target = 0
    if kind in OF_RELAYS:
        target = focus["relay"] if focused else chance.randrange(relays)
    elif kind in OF_PARTNERS:
        target = focus["partner"] if focused else chance.randrange(partners)
    span = chance.uniform(*SPAN.get(kind, USUAL_SPAN))
    return Trouble(kind, now, span, target, _amount(kind, chance))


def _amount(kind: Kind, chance: Random) -> float:
    if kind is Kind.CLOCK_STEP:
        return chance.choice(CLOCK_STEPS)
    if kind is Kind.PAUSE:
        return chance.uniform(*PAUSES)
    return chance.uniform(*FAILING[kind]) if kind in FAILING else 0.0


def _collides(trouble: Trouble, others: list[Trouble]) -> bool:
    """Whether it can't be played beside another: the same again, or two restarts of one relay."""
    return any(
        other.target == trouble.target
        and other.begin < trouble.end() + GAP[1]
        and trouble.begin < other.end() + GAP[1]
        and (other.kind is trouble.kind or {other.kind, trouble.kind} <= set(RESTARTS))
        for other in others
    )


def overlaps(troubles: list[Trouble]) -> int:
    """How many pairs of troubles share some time."""
    pairs = ((a, b) for i, a in enumerate(troubles) for b in troubles[i + 1 :])
    return sum(a.begin < b.end() and b.begin < a.end() for a, b in pairs)
