"""ryestack standin: partner, platform, config."""

import asyncio
import signal
from typing import Annotated

import typer

from ..standins.partner import Partner
from ..standins.platform import Platform
from ..standins.stage import BadStage, Stage, read
from .output import print_json, say, unusable

app = typer.Typer(no_args_is_help=True)
File = Annotated[str, typer.Argument(help="The stage file; examples/stage.toml is one.")]


def _stage(path: str) -> Stage:
    try:
        return read(path)
    except BadStage as bad:
        raise unusable(str(bad)) from None


async def _until_stopped(make, tell) -> None:
    """make: builds the part within the running loop, which its servers need."""
    part, stopped, loop = make(), asyncio.Event(), asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, stopped.set)
    try:
        await part.start()
        tell(part)
        await stopped.wait()
    finally:
        await part.close()


def _run(make, tell) -> None:
    try:
        asyncio.run(_until_stopped(make, tell))
    except OSError as problem:
        raise unusable(str(problem)) from None


@app.command()
def partner(stage: File) -> None:
    """All endpoints of a stage, until Ctrl-C. Its control takes POST /behave, GET /state and GET /books."""
    told = _stage(stage)

    def tell(part: Partner) -> None:
        for name, place in part.places.items():
            say(f"endpoint {name} at {place.address}, destination {place.endpoint.destination}")
        say(f"control at {part.address}; stop with Ctrl-C")

    _run(lambda: Partner(told), tell)


@app.command()
def platform(stage: File) -> None:
    """The list and the notices for a stage, until Ctrl-C; its endpoints need ports of their own."""
    told = _stage(stage)

    def tell(part: Platform) -> None:
        say(f"platform at {part.address}, control at {part.control}; stop with Ctrl-C")

    _run(lambda: Platform(told), tell)


@app.command()
def config(
    stage: File,
    listen: Annotated[str, typer.Option(help="Where the relay is to listen.")] = "127.0.0.1:3000",
) -> None:
    """Print a configuration in the platform's form that goes with a stage."""
    from ..lab.trial import TOPICS, platform_config

    told = _stage(stage)
    known = Platform(told).listing()
    kinds = sorted({e.kind for e in told.endpoint})
    made = platform_config(listen, told.platform.address, known, TOPICS, told.seed)
    many = {e.kind: e.many for e in told.endpoint}
    specifics = made["settings"]["specifics"]
    specifics |= {"kindBatch": [many[k] for k in kinds], "routesApart": [False] * len(kinds)}
    made["settings"]["kinds"] = kinds
    print_json(made)
