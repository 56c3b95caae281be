"""ryestack standin: runs simulated partners or a platform, or prints a configuration that goes with them."""

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


async def _until_stopped(create, announce) -> None:
    """Runs a server until SIGINT or SIGTERM. create() makes it within the running loop, which it needs."""
    server, stopped, loop = create(), asyncio.Event(), asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, stopped.set)
    try:
        await server.start()
        announce(server)
        await stopped.wait()
    finally:
        await server.close()


def _run(create, announce) -> None:
    try:
        asyncio.run(_until_stopped(create, announce))
    except OSError as problem:
        raise unusable(str(problem)) from None


@app.command()
def partner(stage: File) -> None:
    """Run all endpoints of a stage until Ctrl-C. The control has POST /behave, GET /state and GET /books."""
    parsed = _stage(stage)

    def announce(server: Partner) -> None:
        for name, place in server.places.items():
            say(f"endpoint {name} at {place.address}, destination {place.endpoint.destination}")
        say(f"control at {server.address}; stop with Ctrl-C")

    _run(lambda: Partner(parsed), announce)


@app.command()
def platform(stage: File) -> None:
    """Serve the endpoint list and accept notices for a stage until Ctrl-C; its endpoints need fixed ports."""
    parsed = _stage(stage)

    def announce(server: Platform) -> None:
        say(f"platform at {server.address}, control at {server.control}; stop with Ctrl-C")

    _run(lambda: Platform(parsed), announce)


@app.command()
def config(
    stage: File,
    listen: Annotated[str, typer.Option(help="The address on which the relay listens.")] = "127.0.0.1:3000",
) -> None:
    """Print a relay configuration in the platform's format for a stage."""
    from ..lab.trial import TOPICS, platform_config

    parsed = _stage(stage)
    known = Platform(parsed).listing()
    kinds = sorted({e.kind for e in parsed.endpoint})
    result = platform_config(listen, parsed.platform.address, known, TOPICS, parsed.seed)
    batch_limits = {e.kind: e.many for e in parsed.endpoint}
    specifics = result["settings"]["specifics"]
    specifics |= {"kindBatch": [batch_limits[k] for k in kinds], "routesApart": [False] * len(kinds)}
    result["settings"]["kinds"] = kinds
    print_json(result)
