"""ryestack soak: real processes on loopback under overlapping faults, judged by invariants."""

import asyncio
import json
import tempfile
from pathlib import Path
from typing import Annotated

import typer

from ..lab.soak.fault_control import NoCompiler
from ..lab.soak.invariants import Verdict, judge_soak
from ..lab.soak.scenario import LIFETIME_S, WINDOW_S, Scenario, SoakPlan
from ..lab.trial import TrialFailed
from .interrupts import end_from_within
from .output import FOUND, Json, Seed, print_json, say, unusable

SHOWN = 12  # maximum of findings printed for a seed


async def _play(plan: SoakPlan, folder: Path, line) -> tuple[Verdict, dict]:
    end_from_within()
    scenario = Scenario(plan, folder, line)
    verdict = judge_soak(await scenario.play())
    return verdict, scenario.injected


def _row(plan: SoakPlan, verdict: Verdict, injected: dict) -> dict:
    findings = [{"rule": f.rule, "subject": f.subject, "what": f.what} for f in verdict.findings]
    return {"seed": plan.seed, "counts": dict(verdict.counts), "injected": injected, "findings": findings}


def soak(
    seed: Seed = 1,
    seeds: Annotated[int, typer.Option(min=1, max=1000, help="Number of seeds, run one after another.")] = 1,
    seconds: Annotated[
        float, typer.Option(min=5, max=3600, help="How long requests are sent, for each seed.")
    ] = 30.0,
    relays: Annotated[int, typer.Option(min=1, max=64, help="Relays, one process each.")] = 8,
    partners: Annotated[int, typer.Option(min=1, max=64, help="Partners, two processes each.")] = 8,
    rate: Annotated[float, typer.Option(min=0.1, max=200, help="Requests a second at each relay.")] = 12.0,
    one_way_links: Annotated[
        bool, typer.Option("--one-way-links", help="Also links that hold one direction, or are slow.")
    ] = False,
    hold_ups: Annotated[
        bool, typer.Option("--hold-ups", help="Also slow disks, and links that hold some connections.")
    ] = False,
    abuse: Annotated[
        bool, typer.Option("--abuse", help="Also clients that hold memory, or hand the same ids in again.")
    ] = False,
    outages: Annotated[
        bool, typer.Option("--outages", help="Also partners that are shut or behind a dead link, back cold.")
    ] = False,
    memory_mb: Annotated[int, typer.Option(min=1, help="Limit in the configuration of each relay.")] = 192,
    window: Annotated[
        float, typer.Option(min=0.5, max=60, help="Seconds in which partners drop repeats.")
    ] = WINDOW_S,
    lifetime: Annotated[
        float, typer.Option(min=0.5, max=60, help="Seconds that a notification may be delivered.")
    ] = LIFETIME_S,
    keep: Annotated[
        str | None, typer.Option(help="A directory in which to keep all logs, books and journals.")
    ] = None,
    as_json: Json = False,
) -> None:
    """Run many processes, two or three faults at once: restarts, system call faults, partners, clients."""
    rows, bad = [], 0
    with tempfile.TemporaryDirectory(prefix="ryestack-soak-") as temporary:
        for number in range(seed, seed + seeds):
            folder = Path(keep or temporary) / f"seed-{number}"
            folder.mkdir(parents=True)
            plan = SoakPlan(
                number,
                relays,
                partners,
                rate,
                seconds,
                one_way_links=one_way_links,
                hold_ups=hold_ups,
                window=window,
                lifetime=lifetime,
                abuse=abuse,
                memory_mb=memory_mb,
                outages=outages,
            )
            try:
                verdict, injected = asyncio.run(_play(plan, folder, say if not as_json else lambda _: None))
            except asyncio.CancelledError:
                raise typer.Exit(130) from None
            except (TrialFailed, NoCompiler, OSError) as problem:
                raise unusable(str(problem)) from None
            rows.append(_row(plan, verdict, injected))
            (folder / "findings.json").write_text(json.dumps(rows[-1], indent=2))
            bad += bool(verdict.findings)
            for finding in verdict.findings[:SHOWN] if not as_json else ():
                say(f"seed {number}: {finding.rule}: {finding.subject}: {finding.what}")
            counts = verdict.counts
            summary = f"{counts['handed']} sent, {counts['taken']} taken, {len(verdict.findings)} findings"
            say(f"seed {number}: {summary}, injected {injected}")
    if as_json:
        print_json({"seeds": rows})
    else:
        say(f"{len(rows)} seeds, {bad} with findings")
    raise typer.Exit(FOUND if bad else 0)
