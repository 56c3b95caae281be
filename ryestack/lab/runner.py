"""Plays one day of a scenario in the emulator; results are plain values."""

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
QUANTILES = (0.5, 0.9, 0.99, 0.999)


@dataclass(slots=True)
class Day:
    """The result of one day. summary: plain values for tables and files; the rest is for plots."""

    summary: dict
    series: dict[str, np.ndarray] = field(default_factory=dict)
    heat: np.ndarray | None = None
    times: np.ndarray | None = None
    plan: list = field(default_factory=list)
    trace: list[str] = field(default_factory=list)


def policy_of(name: str):
    """A policy by name.

    `ryestack@REV` is the decision module of a git revision; `NAME:KEY=VALUE,...` a policy with other
    constants, for studies. Raises BadScenario.
    """
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
    """A subclass of the policy with some of its numeric constants changed."""
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
        except BadScenario:  # later revisions have a package in place of one file
            files = _text_at(revision, "ryestack/brain/").split("\n\n", 1)[1].split()
            texts = {Path(file).stem: _text_at(revision, f"ryestack/brain/{file}") for file in files}
            sys.meta_path.append(_Texts({f"{name}.{stem}": text for stem, text in texts.items()}))
            _load(name, texts["__init__"], package=name)
    return sys.modules[name].Brain


def _text_at(revision: str, path: str) -> str:
    """A file, or the listing of a directory, at a git revision; raises BadScenario."""
    shown = subprocess.run(["git", "show", f"{revision}:{path}"], cwd=ROOT, capture_output=True, text=True)
    if shown.returncode:
        raise BadScenario(f"revision {revision}: {shown.stderr.strip().splitlines()[-1]}")
    return shown.stdout


def _load(name: str, text: str, package: str) -> None:
    """Registers and executes a module from its text; it is the package itself if the names are equal."""
    module = types.ModuleType(name)
    module.__spec__ = importlib.util.spec_from_loader(name, loader=None, is_package=package == name)
    module.__package__ = package
    if package == name:
        module.__path__ = []
    sys.modules[name] = module
    exec(compile(text, name, "exec"), module.__dict__)


class _Texts(importlib.abc.MetaPathFinder, importlib.abc.InspectLoader):
    """Imports modules from their texts, by full name."""

    def __init__(self, texts: dict[str, str]):
        self.texts = texts

    def find_spec(self, name, path=None, target=None):
        return importlib.util.spec_from_loader(name, self) if name in self.texts else None

    def get_source(self, name: str) -> str:
        return self.texts[name]


def play(day: Scenario, seed: int, policy: str = "ryestack", trace=()) -> Day:
    """Plays one day; the same seed gives the same result, except for the wall-clock times."""
    began, collects = time.perf_counter(), gc.isenabled()
    gc.disable()  # notifications leave no reference cycles, and a collection would scan millions of objects
    try:
        world = World(day, seed, policy_of(policy), trace)
        world.run()
    finally:
        if collects:
            gc.enable()
    wall = time.perf_counter() - began
    inside = sum(r.policy_seconds for r in world.relays)
    arrivals = len(world.arrivals)
    waits = np.array(world.accounts.delivery_times) if world.accounts.delivery_times else np.zeros(0)
    quantiles = np.quantile(waits, QUANTILES).tolist() if len(waits) else [None] * len(QUANTILES)
    summary = {
        "scenario": day.name,
        "policy": policy,
        "seed": seed,
        **world.accounts.score(world.measured.counts),
        "handed": arrivals,
        "delivered": len(waits),
        **world.measured.counts,
        "late_again": world.judge.late_again,
        "rules": {str(rule): count for rule, count in world.judge.counts.items()},
        "broken": [f"rule {b.rule} at {b.at:.3f}, {b.id}: {b.what}" for b in world.judge.violations[:20]],
        "faults": [f"{s.kind} at {s.at:.1f} for {s.span:.1f}" for s in world.plan],
        **{f"p{p * 100:g}": q for p, q in zip(QUANTILES, quantiles, strict=True)},
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
    """The summary without wall-clock times: the same seed gives the same bytes."""
    return {key: value for key, value in summary.items() if key != "wall"}


def line_of(summary: dict) -> bytes:
    """The bare summary as one line of JSON, for comparisons."""
    return json.dumps(bare(summary), sort_keys=True, separators=(",", ":")).encode()


def rules_broken(summary: dict) -> int:
    """The number of rule violations of the day."""
    return sum(summary["rules"].values())


def mark_of(day: Scenario) -> str:
    """A hash of the scenario's values, whatever the layout of its file."""
    text = json.dumps(table_of(day), sort_keys=True, separators=(",", ":"))
    return hashlib.sha256(text.encode()).hexdigest()[:16]


def revision() -> str:
    """The git revision of the work tree, with a + if the decision module differs from it."""
    try:
        head = subprocess.run(
            ["git", "rev-parse", "--short=12", "HEAD"], cwd=ROOT, capture_output=True, text=True
        )
        changed = subprocess.run(["git", "diff", "--quiet", "HEAD", "--", "ryestack/brain"], cwd=ROOT)
    except OSError:
        return "unknown"
    return (head.stdout.strip() or "unknown") + ("+" if changed.returncode == 1 else "")


def copy_of(day: Scenario, **changes) -> Scenario:
    """The scenario with some of its values changed."""
    return msgspec.structs.replace(day, **changes)
