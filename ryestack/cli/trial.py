"""ryestack try: end-to-end trials with faults and kills, judged for loss and duplicates."""

import asyncio
import tempfile
from pathlib import Path
from typing import Annotated

import typer

from ..lab import operation, peers
from ..lab import trial as lab
from ..lab.load import figures
from .interrupts import end_from_within
from .load import progress, show
from .output import FOUND, Json, Seed, print_json, say, unusable


async def _many(folder: Path, seconds: float, seed: int, report) -> list[dict]:
    end_from_within()
    return await peers.many(folder, seconds, seed, report)


async def _run(folder: Path, rate: float, seed: int, note, staff: bool):
    end_from_within()
    chosen = (operation.story, operation.LOAD) if staff else (lab.killed, lab.LOAD)
    return await lab.run(folder, rate, seed, say, note, *chosen)


def _peers(seconds: float, seed: int, keep: str | None, as_json: bool) -> None:
    columns = [
        "story",
        "seed",
        "relays",
        "taken",
        "delivered",
        "ended",
        "lost",
        "twice",
        "two_ends",
        "took_over_s",
    ]
    with tempfile.TemporaryDirectory(prefix="ryestack-try-") as temporary:
        line = say if not as_json else lambda _: None
        line("  ".join(columns))
        try:
            report = lambda row: line("  ".join(str(row[column]) for column in columns))  # noqa: E731
            rows = asyncio.run(_many(Path(keep or temporary), seconds, seed, report))
        except asyncio.CancelledError:
            raise typer.Exit(130) from None
        except (lab.TrialFailed, OSError) as problem:
            raise unusable(str(problem)) from None
    bad = [row for row in rows if row["lost"] or row["twice"] or row["two_ends"] or row["false_ends"]]
    if as_json:
        print_json({"seed": seed, "stories": rows})
    else:
        for row in bad:
            say("\n".join(row["broken"]))
        say(f"{len(rows)} stories, {len(bad)} with a notification lost, duplicated or with two outcomes")
    raise typer.Exit(FOUND if bad else 0)


def trial(
    rate: Annotated[float, typer.Option(min=1, max=500, help="Requests a second.")] = 40.0,
    seed: Seed = 1,
    keep: Annotated[
        str | None, typer.Option(help="A directory in which to keep the relay's log and journal.")
    ] = None,
    staff: Annotated[
        bool,
        typer.Option(
            "--staff", help="Upgrades, kills during them, invalid files and a drain instead of one kill."
        ),
    ] = False,
    guarded: Annotated[
        bool,
        typer.Option(
            "--peers", help="Three to seven relays that replicate to each other; faults between them."
        ),
    ] = False,
    scale: Annotated[
        bool,
        typer.Option(
            "--scale",
            help="Hundreds of relays, most of them hollow (control clients only), and control machines.",
        ),
    ] = False,
    relays: Annotated[
        int, typer.Option(min=1, max=12_000, help="With --scale: all relays, real and hollow.")
    ] = 300,
    real: Annotated[
        int, typer.Option(min=1, max=100, help="With --scale: relays that run as processes.")
    ] = 20,
    seconds: Annotated[
        float,
        typer.Option(
            min=1,
            max=86400,
            help="With --peers: how long new stories are started. With --scale: two regions are "
            "disconnected for half of it; other stories take shares of it.",
        ),
    ] = 120.0,
    as_json: Json = False,
) -> None:
    """Run a platform, partners and a relay: load, a partner that fails and returns, a kill -9, a verdict."""
    if guarded:
        return _peers(seconds, seed, keep, as_json)
    if scale:
        from .scale import play  # imports the control plane, which other trials do not need

        return play(relays, real, seconds, seed, keep, as_json)
    seconds = operation.LOAD if staff else lab.LOAD
    bar, note = progress(int(rate * seconds))
    with tempfile.TemporaryDirectory(prefix="ryestack-try-") as temporary:
        try:
            with bar:
                judged, facts = asyncio.run(_run(Path(keep or temporary), rate, seed, note, staff))
        except asyncio.CancelledError:
            raise typer.Exit(130) from None
        except (lab.TrialFailed, OSError) as problem:
            raise unusable(str(problem)) from None
    result = {**figures(judged), **facts}
    if as_json:
        print_json({"seed": seed, **result})
    else:
        show(result, f"{rate:g} a second for {seconds:g} s, seed {seed}")
        say("none lost, none duplicated" if result["good"] else "FAILED: see the lines above")
    raise typer.Exit(0 if result["good"] else FOUND)
