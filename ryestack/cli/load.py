"""ryestack load: open-loop load on relays, judged from the books of the stand-ins."""

import asyncio
from typing import Annotated

import aiohttp
import typer
from rich.progress import BarColumn, Progress, TextColumn, TimeRemainingColumn

from ..lab.load import Load, Plan, Topic, books_of, figures, settled
from ..lab.oracle import EFFECTS
from ..lab.shapes import SHAPES
from .output import FOUND, Json, Seed, console, print_json, table, unusable

SHOWN = (
    ("handed", "handed in"), ("taken", "taken"), ("delivered", "delivered"), ("throttled", "throttled later"),
    ("expired", "expired"), ("at_the_door", "refused at the door"), ("unheard", "no answer"),
    ("pending", "no end yet"), ("lost", "lost"), ("twice", "twice"), ("late", "pushed too late"),
    ("after_its_end", "pushed after its end"), ("two_ends", "two ends"), ("false_ends", "false ends"),
)  # fmt: skip


TOPICS = ["balance:repeatable:12", "points:collapsible:12", "charge:once-only:12"]


def topics(texts: list[str]) -> list[Topic]:
    """Parses topic types of the form NAME:EFFECT:TTL. Raises typer.Exit for a malformed one."""
    parsed = []
    for text in texts:
        name, _, rest = text.partition(":")
        effect, _, ttl = rest.partition(":")
        try:
            parsed.append(Topic(name, effect, float(ttl)))
        except ValueError:
            raise unusable(f"--topic {text}: must be NAME:EFFECT:SECONDS") from None
        if effect not in EFFECTS or not parsed[-1].ttl > 0.0:
            raise unusable(f"--topic {text}: EFFECT must be one of {', '.join(EFFECTS)}, SECONDS above 0")
    return parsed


def show(result: dict, title: str) -> None:
    """Prints a result of lab.load.figures as tables, with at most 20 of its violations."""
    rows = [[label, result[name]] for name, label in SHOWN]
    table(title, ["what", "count"], rows)
    columns = [part for part in result["to_answer_ms"]]
    rows = [
        [label, *(f"{result[name][p]:.1f}" if result[name][p] is not None else "-" for p in columns)]
        for name, label in (("to_answer_ms", "to the answer"), ("to_effect_ms", "to the effect"))
    ]
    table("milliseconds from the intended time", ["", *columns], rows)
    for line in result["broken"][:20]:
        console().print(line, markup=False, soft_wrap=True)
    if len(result["broken"]) > 20:
        console().print(f"... and {len(result['broken']) - 20} more")
    if not result["whole"]:
        console().print("the stand-ins' books are incomplete: this run cannot be judged")


def progress(total: int) -> tuple[Progress, callable]:
    """A progress bar, shown on terminals only, and a function that sets the number of requests sent."""
    screen = console(err=True)
    count = TextColumn("handed in {task.completed}/{task.total}")
    columns = count, BarColumn(), TimeRemainingColumn()
    bar = Progress(*columns, console=screen, transient=True, disable=not screen.is_terminal)
    task = bar.add_task("", total=total)
    return bar, lambda count: bar.update(task, completed=count, total=max(total, count))


async def _run(plan: Plan, relays: list[str], partners: list[str], platform: str, note) -> dict:
    load = Load(plan, relays, note)
    await load.run()

    async def collect():
        runs, whole = [], True
        for control in partners:
            books = await books_of(control)
            runs, whole = runs + books.runs, whole and books.whole
        books = await books_of(platform)
        sent = {request.id for request in load.handed}
        return [r for r in runs if r.id in sent], books.notices, whole and books.whole

    longest = max(topic.ttl for topic in plan.topics) + 1.0
    return figures(await settled(load, collect, longest))


def load(
    relay: Annotated[list[str] | None, typer.Option(help="host:port; may be repeated.")] = None,
    partner: Annotated[
        list[str] | None, typer.Option(help="Control address of stand-in partners; may be repeated.")
    ] = None,
    platform: Annotated[
        str, typer.Option(help="Control address of the stand-in platform.")
    ] = "127.0.0.1:8501",
    destination: Annotated[list[int] | None, typer.Option(help="May be repeated.")] = None,
    topic: Annotated[list[str] | None, typer.Option(help="NAME:EFFECT:SECONDS; may be repeated.")] = None,
    customer: Annotated[list[str] | None, typer.Option(help="May be repeated.")] = None,
    rate: Annotated[float, typer.Option(min=0.01, max=100_000, help="Requests a second.")] = 50.0,
    seconds: Annotated[float, typer.Option(min=0.1, max=86_400, help="How long requests are sent.")] = 10.0,
    shape: Annotated[str, typer.Option(help=f"One of {', '.join(SHAPES)}.")] = "poisson",
    connections: Annotated[int, typer.Option(min=1, max=20_000, help="Maximum of open connections.")] = 32,
    patience: Annotated[
        float, typer.Option(min=0.01, max=60, help="Seconds a client waits for an answer.")
    ] = 0.4,
    size: Annotated[int, typer.Option(min=0, max=65_536, help="Bytes of a request body.")] = 64,
    window: Annotated[float, typer.Option(min=0, help="Window of collapsible topics, in seconds.")] = 6.0,
    seed: Seed = 1,
    as_json: Json = False,
) -> None:
    """Send requests at a rate, whatever the answers; judge loss and duplicates by the stand-ins' books."""
    if shape not in SHAPES:
        raise unusable(f"--shape {shape}: must be one of {', '.join(SHAPES)}")
    relays, partners = relay or ["127.0.0.1:3000"], partner or ["127.0.0.1:8080"]
    plan = Plan(
        topics(topic or TOPICS),
        destination or [1],
        customer or ["acme"],
        rate,
        seconds,
        shape,
        connections,
        patience,
        size,
        seed,
        window,
    )
    bar, note = progress(int(rate * seconds))
    try:
        with bar:
            result = asyncio.run(_run(plan, relays, partners, platform, note))
    except (aiohttp.ClientError, OSError) as problem:
        raise unusable(f"the stand-ins' books could not be fetched: {problem}") from None
    if as_json:
        print_json({"seed": seed, **result})
    else:
        show(result, f"{rate:g} a second for {seconds:g} s, {shape}, seed {seed}")
    raise typer.Exit(0 if result["good"] else FOUND)
