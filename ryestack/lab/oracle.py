"""Judges a run from the books of those outside: clients, partners, platform. It never asks the relay. Pure.

Times are seconds of one wall clock. The protocol's margins: a message is lost that has no end 0.3 s after its
time; calls that were on their way when an end was told are none of its fault.
"""

from dataclasses import dataclass, field

LOST_AFTER = 0.3  # seconds past the TTL, as the protocol counts
ON_ITS_WAY = 0.25  # seconds after a notice arrived in which an earlier push may still come
EFFECTS = ("repeatable", "collapsible", "once-only")


@dataclass(slots=True)
class Handed:
    """One hand-in as its client saw it.

    answer: taken, throttled, expired, malformed, or unheard where no answer came; due: when its time is up;
    meant: when it should have been sent; heard: when the answer was there.
    """

    id: str
    topic: str
    effect: str
    key: str
    meant: float
    due: float
    answer: str = "unheard"
    heard: float = 0.0


@dataclass(slots=True)
class Judged:
    """What became of all, and each thing that should not be, with the notification's whole life."""

    handed: int = 0
    taken: int = 0
    delivered: int = 0
    throttled: int = 0
    expired: int = 0
    at_the_door: int = 0
    unheard: int = 0
    pending: int = 0  # taken, no end yet, and their time is not up
    lost: int = 0
    twice: int = 0
    late: int = 0
    after_its_end: int = 0
    two_ends: int = 0
    false_ends: int = 0
    whole: bool = True
    to_answer: list[float] = field(default_factory=list)
    to_effect: list[float] = field(default_factory=list)
    broken: list[str] = field(default_factory=list)

    def good(self) -> bool:
        return self.whole and not self.broken


def judge(handed: list[Handed], runs, notices, now: float, window: float, whole: bool = True) -> Judged:
    """runs: of partners, as their books have them; notices: of the platform, likewise.

    window: seconds in which a partner drops repeats of a collapsible notification's key.
    """
    told, ran, ends = Judged(handed=len(handed), whole=whole), {}, {}
    for run in runs:
        ran.setdefault(run.id, []).append(run)
    for notice in notices:
        ends.setdefault(notice.id, []).append(notice)
    for one in handed:
        mine = sorted(ran.get(one.id, []), key=lambda r: r.at)
        said = sorted(ends.get(one.id, []), key=lambda n: n.at)
        _one(told, one, mine, said, now)
    _doubles(told, handed, ran, window)
    return told


def _one(told: Judged, one: Handed, mine: list, said: list, now: float) -> None:
    def broken(what: str, why: str) -> None:
        setattr(told, what, getattr(told, what) + 1)
        told.broken.append(f"{one.id}: {why}: {life(one, mine, said)}")

    if one.answer == "unheard":
        told.unheard += 1
        return  # whatever comes of it counts for nothing, but for doubles
    told.to_answer.append(one.heard - one.meant)
    if one.answer != "taken":
        told.at_the_door += 1
        if mine:
            broken("after_its_end", "refused at once, and yet it ran")
        return
    told.taken += 1
    answered = [r for r in mine if r.answered]
    if answered:
        told.to_effect.append(answered[0].at - one.meant)
    if len({n.state for n in said}) > 1:
        broken("two_ends", "two different ends were told")
    if answered and not said:
        told.delivered += 1
    elif said and said[0].state == "returned":
        told.throttled += 1
        if mine and one.effect == "once-only":
            broken("false_ends", "told that trying again is harmless, and it ran")
    elif said:
        told.expired += 1
    elif now < one.due + LOST_AFTER:
        told.pending += 1
    else:
        broken("lost", "taken, and neither delivered nor ended")
    if any(r.came > one.due + LOST_AFTER for r in mine):
        broken("late", "it was pushed after its time was up")
    if said and any(r.came > said[0].at + ON_ITS_WAY for r in mine):
        broken("after_its_end", "it was pushed after its end was told")


def _doubles(told: Judged, handed: list[Handed], ran: dict, window: float) -> None:
    """Effects that came twice: once-only by id, collapsible by key outside the window of one that counted."""
    by_key: dict[str, list] = {}
    kinds = {one.id: one for one in handed}
    for name, runs in ran.items():
        one = kinds.get(name)
        if one is None:
            told.broken.append(f"{name}: it ran, and no client handed it in")
        elif one.effect == "once-only" and len(runs) > 1:
            told.twice += 1
            told.broken.append(f"{name}: once-only, ran {len(runs)} times: {life(one, runs, [])}")
        elif one.effect == "collapsible":
            by_key.setdefault(one.key, []).extend((r.at, one, runs) for r in runs)
    for rows in by_key.values():
        rows.sort(key=lambda row: row[0])
        if len({one.id for _, one, _ in rows}) > 1:
            continue  # handed in again by its client under the same key: not the relay's doing
        counted = rows[0][0]
        for at, one, runs in rows[1:]:
            if at > counted + window:
                counted = at
                told.twice += 1
                told.broken.append(f"{one.id}: ran again outside its window: {life(one, runs, [])}")


def life(one: Handed, runs: list, notices: list) -> str:
    """One notification's whole life, in order, in seconds from when it was meant to be handed in."""
    rows = [(one.heard or one.meant, f"handed in ({one.topic}, {one.effect}), answer {one.answer}")]
    rows += [(r.at, f"ran at {r.endpoint}{'' if r.answered else ', no answer written'}") for r in runs]
    rows += [(n.at, f"notice {n.state}") for n in notices]
    rows.append((one.due, "its time is up"))
    return "; ".join(f"{at - one.meant:+.3f} {what}" for at, what in sorted(rows))
