"""ryestack load: an open loop against relays, judged from the stand-ins' books."""

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
    """Of NAME:EFFECT:TTL each."""
    found = []
    for text in texts:
        name, _, rest = text.partition(":")
        effect, _, ttl = rest.partition(":")
        try:
            found.append(Topic(name, effect, float(ttl)))
        except ValueError:
            raise unusable(f"--topic {text}: must be NAME:EFFECT:SECONDS") from None
        if effect not in EFFECTS or not found[-1].ttl > 0.0:
            raise unusable(f"--topic {text}: EFFECT is one of {', '.join(EFFECTS)}, SECONDS above 0")
    return found


def show(result: dict, title: str) -> None:
    rows = [[words, result[name]] for name, words in SHOWN]
    table(title, ["what", "count"], rows)
    columns = [part for part in result["to_answer_ms"]]
    rows = [
        [words, *(f"{result[name][p]:.1f}" if result[name][p] is not None else "-" for p in columns)]
        for name, words in (("to_answer_ms", "to the answer"), ("to_effect_ms", "to the effect"))
    ]
    table("milliseconds from the intended time", ["", *columns], rows)
    for line in result["broken"][:20]:
        console().print(line, markup=False, soft_wrap=True)
    if len(result["broken"]) > 20:
        console().print(f"... and {len(result['broken']) - 20} more")
    if not result["whole"]:
        console().print("the stand-ins' books are not whole: this run cannot be judged")


def progress(total: int) -> tuple[Progress, callable]:
    """A bar with the time left, on a terminal only, and what moves it."""
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
        for each in partners:
            books = await books_of(each)
            runs, whole = runs + books.runs, whole and books.whole
        books = await books_of(platform)
        mine = {one.id for one in load.handed}
        return [r for r in runs if r.id in mine], books.notices, whole and books.whole

    longest = max(t.ttl for t in plan.topics) + 1.0
    return figures(await settled(load, collect, longest))


def load(
    relay: Annotated[list[str] | None, typer.Option(help="host:port; may come again.")] = None,
    partner: Annotated[list[str] | None, typer.Option(help="Control of stand-in partners.")] = None,
    platform: Annotated[str, typer.Option(help="Control of the stand-in platform.")] = "127.0.0.1:8501",
    destination: Annotated[list[int] | None, typer.Option(help="May come again.")] = None,
    topic: Annotated[list[str] | None, typer.Option(help="NAME:EFFECT:SECONDS; may come again.")] = None,
    customer: Annotated[list[str] | None, typer.Option(help="May come again.")] = None,
    rate: Annotated[float, typer.Option(min=0.01, max=100_000, help="Hand-ins a second.")] = 50.0,
    seconds: Annotated[float, typer.Option(min=0.1, max=86_400, help="How long hand-ins come.")] = 10.0,
    shape: Annotated[str, typer.Option(help=f"One of {', '.join(SHAPES)}.")] = "poisson",
    connections: Annotated[int, typer.Option(min=1, max=20_000, help="Kept open at most.")] = 32,
    patience: Annotated[float, typer.Option(min=0.01, max=60, help="Seconds a client waits.")] = 0.4,
    size: Annotated[int, typer.Option(min=0, max=65_536, help="Bytes of a body.")] = 64,
    window: Annotated[float, typer.Option(min=0, help="Seconds, of collapsible topics.")] = 6.0,
    seed: Seed = 1,
    as_json: Json = False,
) -> None:
    """Hand in at a rate, whatever comes back; loss and doubles are judged from the stand-ins' books."""
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
        raise unusable(f"the stand-ins' books cannot be had: {problem}") from None
    if as_json:
        print_json({"seed": seed, **result})
    else:
        show(result, f"{rate:g} a second for {seconds:g} s, {shape}, seed {seed}")
    raise typer.Exit(0 if result["good"] else FOUND)
