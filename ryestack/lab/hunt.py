"""Looks for the days on which a policy does worst or breaks a rule, and cuts each down to what matters."""

from collections.abc import Callable
from dataclasses import dataclass

import msgspec
import numpy as np
from joblib import Parallel, delayed

from .policies import CEILING
from .runner import bare, copy_of, play, rules_broken
from .scenario import Scenario, TimelineFault
from .sim import faults
from .sim.random_streams import RandomStreams

KEEP = 0.7  # of what was lost must a smaller day still lose
ROUNDS = 12  # of cutting down at most, each over all that may go


@dataclass(slots=True)
class Found:
    """A day: what is lost against the ceiling, the rules broken, and the summary."""

    day: Scenario
    seed: int
    lost: float
    broken: int
    summary: dict

    def worse(self) -> tuple:
        return (-min(1, self.broken), -self.lost)


def measure(day: Scenario, seed: int, policy: str) -> Found:
    mine, best = play(day, seed, policy).summary, play(day, seed, CEILING).summary
    return Found(day, seed, max(0.0, best["G"] - mine["G"]), rules_broken(mine), bare(mine))


def fixed(day: Scenario, seed: int) -> Scenario:
    """The same day with its drawn faults written out, so that they can be cut one by one.

    What a fault strikes is drawn anew under its own name, so the days are alike and not the same.
    """
    gen = RandomStreams(seed).of("faults")
    least, most = day.random.faults
    drawn = [faults._drawn(day, gen) for _ in range(int(gen.integers(least, most + 1)))]
    return copy_of(day, fault=[*day.fault, *drawn], random=msgspec.structs.replace(day.random, faults=[0, 0]))


def search(
    day: Scenario, policy: str, budget: int, seed: int, note: Callable[[int, int], None], cores: int = -1
):
    """The days drawn by `budget` seeds, the worst first: those that break a rule, then by what is lost."""
    seeds = np.random.default_rng(seed).choice(2**31, budget, replace=False).tolist()
    found = []
    work = (delayed(measure)(fixed(day, s), s, policy) for s in seeds)
    for one in Parallel(cores, return_as="generator_unordered")(work):
        found.append(one)
        note(len(found), budget)
    return sorted(found, key=lambda f: (f.worse(), f.seed))


def smaller(day: Scenario) -> list[tuple[str, Scenario]]:
    """Days with one thing less."""
    made = []
    for i, fault in enumerate(day.fault):
        rest = [f for j, f in enumerate(day.fault) if j != i]
        made.append((f"without {fault.kind}", copy_of(day, fault=rest)))
    for i, fault in enumerate(day.fault):
        for key in ("span", "part"):
            value = getattr(fault, key)
            if isinstance(value, float) and value > 0.04:
                cut = msgspec.structs.replace(fault, **{key: value / 2.0})
                made.append((f"{fault.kind} {key} halved", copy_of(day, fault=_with(day.fault, i, cut))))
    last = max((_end(f) for f in day.fault), default=0.0)
    if day.seconds > last + 12.0:
        made.append(("shorter", copy_of(day, seconds=float(np.ceil(last + 8.0)))))
    if day.fleet.relays > 1:
        made.append(
            (
                "half the relays",
                copy_of(day, fleet=msgspec.structs.replace(day.fleet, relays=day.fleet.relays // 2)),
            )
        )
    for i, group in enumerate(day.group):
        if len(day.group) > 1 and not any(f.group == group.name for f in day.fault):
            made.append(
                (f"without {group.name}", copy_of(day, group=[g for j, g in enumerate(day.group) if j != i]))
            )
    for i, topic in enumerate(day.topic):
        if len(day.topic) > 1 and not any(f.topic == topic.name for f in day.fault):
            made.append(
                (f"without {topic.name}", copy_of(day, topic=[t for j, t in enumerate(day.topic) if j != i]))
            )
    return made


def _with(rows: list[TimelineFault], i: int, row: TimelineFault) -> list[TimelineFault]:
    return [*rows[:i], row, *rows[i + 1 :]]


def _end(fault: TimelineFault) -> float:
    at, span = (v[-1] if isinstance(v, list) else v for v in (fault.at, fault.span))
    return at + span


def shrink(found: Found, policy: str, note: Callable[[str], None], cores: int = -1) -> Found:
    """The least day that still breaks a rule, or still loses most of what this one does."""

    def holds(one: Found) -> bool:
        return one.broken > 0 if found.broken else one.lost >= KEEP * found.lost

    for _ in range(ROUNDS):
        steps = smaller(found.day)
        tried = Parallel(cores)(delayed(measure)(day, found.seed, policy) for _, day in steps)
        good = [(name, one) for (name, _), one in zip(steps, tried, strict=True) if holds(one)]
        if not good:
            break
        name, best = min(good, key=lambda row: (len(row[1].day.fault), *row[1].worse()))
        note(f"{name}: loses {best.lost:.3f}, {best.broken} rules broken")
        found = best
    return found
