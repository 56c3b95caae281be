"""Searches for the days on which a policy scores worst or breaks a rule, and minimizes each of them."""

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

KEPT_LOSS = 0.7  # share of the loss that a minimized day must keep
MAX_ROUNDS = 12  # of minimization, each tries all reductions


@dataclass(slots=True)
class Found:
    """A day; lost: G below the ceiling; broken: number of rule violations."""

    day: Scenario
    seed: int
    lost: float
    broken: int
    summary: dict

    def rank(self) -> tuple:
        """Sort key: days that break a rule first, then by loss, the largest first."""
        return (-min(1, self.broken), -self.lost)


def measure(day: Scenario, seed: int, policy: str) -> Found:
    """Play a day with a policy and with the ceiling."""
    result, best = play(day, seed, policy).summary, play(day, seed, CEILING).summary
    return Found(day, seed, max(0.0, best["G"] - result["G"]), rules_broken(result), bare(result))


def with_drawn_faults(day: Scenario, seed: int) -> Scenario:
    """The day with its drawn faults on the timeline, so that each can be removed on its own.

    The targets of a fault are drawn from a stream of its own, so the result is similar and not identical.
    """
    rng = RandomStreams(seed).generator("faults")
    low, high = day.random.faults
    drawn = [faults._draw_fault(day, rng) for _ in range(int(rng.integers(low, high + 1)))]
    return copy_of(day, fault=[*day.fault, *drawn], random=msgspec.structs.replace(day.random, faults=[0, 0]))


def search(
    day: Scenario, policy: str, budget: int, seed: int, progress: Callable[[int, int], None], cores: int = -1
):
    """The days of `budget` random seeds, the worst first: those that break a rule, then by loss."""
    seeds = np.random.default_rng(seed).choice(2**31, budget, replace=False).tolist()
    found = []
    work = (delayed(measure)(with_drawn_faults(day, s), s, policy) for s in seeds)
    for result in Parallel(cores, return_as="generator_unordered")(work):
        found.append(result)
        progress(len(found), budget)
    return sorted(found, key=lambda f: (f.rank(), f.seed))


def reductions(day: Scenario) -> list[tuple[str, Scenario]]:
    """The days with one element less, each with a description."""
    reduced = []
    for i, fault in enumerate(day.fault):
        rest = [f for j, f in enumerate(day.fault) if j != i]
        reduced.append((f"without {fault.kind}", copy_of(day, fault=rest)))
    for i, fault in enumerate(day.fault):
        for key in ("span", "part"):
            value = getattr(fault, key)
            if isinstance(value, float) and value > 0.04:
                cut = msgspec.structs.replace(fault, **{key: value / 2.0})
                reduced.append((f"{fault.kind} {key} halved", copy_of(day, fault=_with(day.fault, i, cut))))
    last = max((_end(f) for f in day.fault), default=0.0)
    if day.seconds > last + 12.0:
        reduced.append(("shorter", copy_of(day, seconds=float(np.ceil(last + 8.0)))))
    if day.fleet.relays > 1:
        reduced.append(
            (
                "half the relays",
                copy_of(day, fleet=msgspec.structs.replace(day.fleet, relays=day.fleet.relays // 2)),
            )
        )
    for i, group in enumerate(day.group):
        if len(day.group) > 1 and not any(f.group == group.name for f in day.fault):
            reduced.append(
                (f"without {group.name}", copy_of(day, group=[g for j, g in enumerate(day.group) if j != i]))
            )
    for i, topic in enumerate(day.topic):
        if len(day.topic) > 1 and not any(f.topic == topic.name for f in day.fault):
            reduced.append(
                (f"without {topic.name}", copy_of(day, topic=[t for j, t in enumerate(day.topic) if j != i]))
            )
    return reduced


def _with(rows: list[TimelineFault], i: int, row: TimelineFault) -> list[TimelineFault]:
    return [*rows[:i], row, *rows[i + 1 :]]


def _end(fault: TimelineFault) -> float:
    at, span = (v[-1] if isinstance(v, list) else v for v in (fault.at, fault.span))
    return at + span


def shrink(found: Found, policy: str, progress: Callable[[str], None], cores: int = -1) -> Found:
    """The smallest day found that still breaks a rule, or still keeps most of the loss."""

    def still_bad(candidate: Found) -> bool:
        return candidate.broken > 0 if found.broken else candidate.lost >= KEPT_LOSS * found.lost

    for _ in range(MAX_ROUNDS):
        steps = reductions(found.day)
        tried = Parallel(cores)(delayed(measure)(day, found.seed, policy) for _, day in steps)
        remaining = [
            (name, result) for (name, _), result in zip(steps, tried, strict=True) if still_bad(result)
        ]
        if not remaining:
            break
        name, best = min(remaining, key=lambda row: (len(row[1].day.fault), *row[1].rank()))
        progress(f"{name}: loses {best.lost:.3f}, {best.broken} rules broken")
        found = best
    return found
