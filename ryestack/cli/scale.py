"""ryestack try --scale: real and hollow relays and control machines under faults, checked by rules."""

import asyncio
import logging
import signal
import tempfile
from pathlib import Path

import msgspec
import typer

from ..lab.scale import ScaleRun
from ..lab.scale_plan import DoesNotFit, ScalePlan, largest_fitting, make_plan
from ..lab.scale_processes import write_json
from ..lab.scale_report import NOTIFICATION_RULES, ScaleResult, StoryResult
from ..lab.scale_stories import STORIES, Lengths
from ..lab.scale_usage import limits
from ..lab.trial import TrialFailed
from .output import FOUND, print_json, say, table, unusable

PLAIN_FRACTION = 0.4  # relays without control, for comparison, as a fraction of the real ones
DEFAULT_SECONDS = 120.0  # that the defaults of Lengths take
STOPPED = 130


def play(relays: int, real: int, seconds: float, seed: int, keep: str | None, as_json: bool) -> None:
    """Runs once; raises typer.Exit: 0, 1 (a rule was broken) or 2 (does not fit, or could not be run)."""
    real = min(real, relays)
    plain = max(1, round(PLAIN_FRACTION * real))
    try:
        plan = make_plan(relays, real, plain, limits())
    except DoesNotFit as problem:
        maximum = largest_fitting(real, plain, limits())
        raise unusable(f"{relays} relays do not fit, {maximum} would: {problem}") from None
    with tempfile.TemporaryDirectory(prefix="ryestack-scale-") as temporary:
        folder = Path(keep or temporary)
        try:
            result = asyncio.run(_run(folder, plan, seed, seconds))
        except asyncio.CancelledError:
            raise typer.Exit(STOPPED) from None
        except (TrialFailed, OSError, ExceptionGroup) as problem:
            raise unusable(str(problem)) from None
        report = msgspec.to_builtins(result)
        if keep:
            write_json(folder / "scale.json", report)
    if as_json:
        print_json(report)
    else:
        _show(result)
    raise typer.Exit(0 if result.good() else FOUND)


async def _run(folder: Path, plan: ScalePlan, seed: int, seconds: float) -> ScaleResult:
    logging.getLogger("aiohttp.server").setLevel(
        logging.CRITICAL
    )  # killed relays drop their connections to the stand-ins
    task, loop = asyncio.current_task(), asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, task.cancel)  # so that no child process is left
    scale = seconds / DEFAULT_SECONDS
    default = Lengths()
    lengths = Lengths(default.ordinary * scale, default.fault * scale, default.parted * scale)
    return await ScaleRun(folder, plan, seed, lengths, say).run(list(STORIES))


def _show(result: ScaleResult) -> None:
    rows = [_story_row(story) for story in result.stories]
    columns = [
        "story",
        "changes",
        "unanswered",
        "answered",
        "shared",
        "scoped",
        "restarted",
        "never",
        "caught up",
    ]
    title = (
        f"{result.relays} relays ({result.real} real): seconds until answered, in force, p50 / p99 / worst"
    )
    table(title, columns, rows)
    rows = [
        [name, f"{c.hollow:.4g}", f"{c.real:.4g}", "" if c.ratio is None else f"{c.ratio:.3f}",
         "" if c.spread is None else f"{c.spread:.2g}", "proven" if c.proven else "unproven"]
        for name, c in result.compared.items()
    ]  # fmt: skip
    table("control a second", ["figure", "hollow", "real", "ratio", "real +-", "hollow is"], rows)
    rows = [["memory of a hollow relay, kB", f"{result.hollow_memory / 1e3:.0f}"]]
    rows += [["memory of a real relay, with and without control, kB", _memory_pair(result)]]
    if result.machine:
        rows += [["core of a control machine, mean and most", _mean_and_maximum(result.machine)]]
        rows += [["memory of a control machine, mean, MB", f"{result.machine.memory_mean / 1e6:.0f}"]]
    faults = ("older_after_newer", "lost_changes", "left_behind")
    rows += [[name.replace("_", " "), getattr(result, name).count] for name in faults]
    rows += [[f"notifications {name}", result.notifications[name]] for name in ("taken", *NOTIFICATION_RULES)]
    table("the rest", ["what", "value"], rows)
    for name in faults:
        say("\n".join(getattr(result, name).lines))
    say("\n".join(result.notifications["broken"][:10]))


def _story_row(story: StoryResult) -> list:
    delays = (story.answered, story.shared, story.scoped, story.restarted)
    never = sum(each.never for each in delays)
    caught_up = "yes" if story.caught_up else "NO"
    return [story.story, story.changes, story.unanswered, *map(_delays, delays), never, caught_up]


def _memory_pair(result: ScaleResult) -> str:
    return f"{result.real_memory / 1e3:.0f}, {result.plain_memory / 1e3:.0f}"


def _mean_and_maximum(use) -> str:
    return f"{use.cpu_mean:.4f}, {use.cpu_most:.4f}"


def _delays(found) -> str:
    values = (found.p50, found.p99, found.worst)
    return " / ".join("-" if value is None else f"{value:.2f}" for value in values)
