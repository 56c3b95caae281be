"""Plays scenarios: one day, or many side by side, in results that are plain values."""

import gc
import hashlib
import importlib.abc
import importlib.util
import json
import subprocess
import sys
import time
import types
from dataclasses import dataclass, field
from pathlib import Path

import msgspec
import numpy as np

from .former_names import CONSTANTS, former_interface
from .policies import POLICIES
from .scenario import BadScenario, Scenario, table_of
from .sim.world import World

ROOT = Path(__file__).resolve().parents[2]
PARTS = (0.5, 0.9, 0.99, 0.999)


@dataclass(slots=True)
class Day:
    """One day played. summary: plain values for tables and files; the rest is for plots."""

    summary: dict
    series: dict[str, np.ndarray] = field(default_factory=dict)
    heat: np.ndarray | None = None
    times: np.ndarray | None = None
    plan: list = field(default_factory=list)
    trace: list[str] = field(default_factory=list)


def policy_of(name: str):
    """A policy by name; `ryestack@REV` is the module of a git revision, and `NAME:KEY=VALUE,...` one with
    other constants, for studies. Raises BadScenario."""
    name, colon, changes = name.partition(":")
    if colon:
        return _with(policy_of(name), changes)
    if name in POLICIES:
        return POLICIES[name]
    if name.startswith("ryestack@"):
        return brain_at(name.partition("@")[2])
    raise BadScenario(
        f"policy {name}: there is none of that name; known are {', '.join(POLICIES)}, ryestack@REV"
    )


def _with(kind, changes: str):
    """The same policy with some of its numbers changed."""
    constants = {}
    for change in changes.split(","):
        key, _, value = change.partition("=")
        key = key if hasattr(kind, key) else CONSTANTS.get(key, key)
        try:
            if not isinstance(getattr(kind, key), (int, float)):
                raise ValueError
            constants[key] = type(getattr(kind, key))(float(value))
        except (AttributeError, ValueError):
            raise BadScenario(
                f"policy {kind.__name__}: {change}: must be a number of it, as KEY=VALUE"
            ) from None
    return type(kind.__name__, (kind,), constants)


def brain_at(revision: str):
    """The decision module as it was at a git revision, with today's types under their former names.

    Raises BadScenario.
    """
    parent = "ryestack.brain_" + hashlib.sha256(revision.encode()).hexdigest()[:12]
    name = f"{parent}.brain"
    if name not in sys.modules:
        _load(parent, "", package=parent)
        sys.modules[f"{parent}.interface"] = former_interface(f"{parent}.interface")
        sys.modules[parent].interface = sys.modules[f"{parent}.interface"]
        try:
            _load(name, _text_at(revision, "ryestack/brain.py"), package=parent)
        except BadScenario:  # it has been a package of several files since
            listed = _text_at(revision, "ryestack/brain/").split("\n\n", 1)[1].split()
            texts = {Path(file).stem: _text_at(revision, f"ryestack/brain/{file}") for file in listed}
            sys.meta_path.append(_Texts({f"{name}.{stem}": text for stem, text in texts.items()}))
            _load(name, texts["__init__"], package=name)
    return sys.modules[name].Brain


def _text_at(revision: str, path: str) -> str:
    got = subprocess.run(["git", "show", f"{revision}:{path}"], cwd=ROOT, capture_output=True, text=True)
    if got.returncode:
        raise BadScenario(f"revision {revision}: {got.stderr.strip().splitlines()[-1]}")
    return got.stdout


def _load(name: str, text: str, package: str) -> None:
    module = types.ModuleType(name)
    module.__spec__ = importlib.util.spec_from_loader(name, loader=None, is_package=package == name)
    module.__package__ = package
    if package == name:
        module.__path__ = []
    sys.modules[name] = module
    exec(compile(text, name, "exec"), module.__dict__)


class _Texts(importlib.abc.MetaPathFinder, importlib.abc.InspectLoader):
    """Imports the modules of one package from their texts."""

    def __init__(self, texts: dict[str, str]):
        self.texts = texts

    def find_spec(self, name, path=None, target=None):
        return importlib.util.spec_from_loader(name, self) if name in self.texts else None

    def get_source(self, name: str) -> str:
        return self.texts[name]


def play(day: Scenario, seed: int, policy: str = "ryestack", trace=()) -> Day:
    """One day from its seed: the same again each time, but for the times that the machine took."""
    began, collects = time.perf_counter(), gc.isenabled()
    gc.disable()  # no notification leaves a cycle behind, and there are millions of objects to look through
    try:
        world = World(day, seed, policy_of(policy), trace)
        world.run()
    finally:
        if collects:
            gc.enable()
    wall = time.perf_counter() - began
    inside = sum(r.policy_seconds for r in world.relays)
    many = len(world.arrivals)
    waits = np.array(world.accounts.delivery_times) if world.accounts.delivery_times else np.zeros(0)
    quantiles = np.quantile(waits, PARTS).tolist() if len(waits) else [None] * len(PARTS)
    summary = {
        "scenario": day.name,
        "policy": policy,
        "seed": seed,
        **world.accounts.score(world.measured.counts),
        "handed": many,
        "delivered": len(waits),
        **world.measured.counts,
        "late_again": world.judge.late_again,
        "rules": {str(rule): count for rule, count in world.judge.counts.items()},
        "broken": [f"rule {b.rule} at {b.at:.3f}, {b.id}: {b.what}" for b in world.judge.violations[:20]],
        "faults": [f"{s.kind} at {s.at:.1f} for {s.span:.1f}" for s in world.plan],
        **{f"p{p * 100:g}": q for p, q in zip(PARTS, quantiles, strict=True)},
        "wall": {"seconds": wall, "inside": inside},
    }
    series = {name: values for name, values in world.measured.series.items()}
    heat = np.divide(
        world.measured.heat_delivered,
        world.measured.heat_submitted,
        where=world.measured.heat_submitted > 0,
        out=np.full(world.measured.heat_submitted.shape, np.nan),
    )
    return Day(summary, series, heat, waits, world.plan, list(world.judge.trace_lines))


def bare(summary: dict) -> dict:
    """A summary without what the machine makes different: same seed, same bytes."""
    return {key: value for key, value in summary.items() if key != "wall"}


def line_of(summary: dict) -> bytes:
    return json.dumps(bare(summary), sort_keys=True, separators=(",", ":")).encode()


def rules_broken(summary: dict) -> int:
    return sum(summary["rules"].values())


def mark_of(day: Scenario) -> str:
    """A scenario's hash: the same for the same values, however its file is written."""
    text = json.dumps(table_of(day), sort_keys=True, separators=(",", ":"))
    return hashlib.sha256(text.encode()).hexdigest()[:16]


def revision() -> str:
    """Of the tree, with a + where the module differs from it."""
    try:
        head = subprocess.run(
            ["git", "rev-parse", "--short=12", "HEAD"], cwd=ROOT, capture_output=True, text=True
        )
        changed = subprocess.run(["git", "diff", "--quiet", "HEAD", "--", "ryestack/brain"], cwd=ROOT)
    except OSError:
        return "unknown"
    return (head.stdout.strip() or "unknown") + ("+" if changed.returncode == 1 else "")


def copy_of(day: Scenario, **changes) -> Scenario:
    return msgspec.structs.replace(day, **changes)
