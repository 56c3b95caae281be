"""Operators' actions on a relay in one trial: upgrades, a kill during one, invalid files, a drain."""

import asyncio
import json
import signal
from collections.abc import Callable

from .child_process import send_signal
from .ports import free_port
from .trial import RelayProcess, TrialFailed

PAUSE = 0.7  # seconds of load between two actions
LOAD = 16.0  # seconds during which requests are sent; the whole story takes place within them
STOP = 3.7  # seconds from SIGTERM to SIGKILL, as the platform does


async def beside(relay: RelayProcess) -> tuple[RelayProcess, float]:
    """Starts a second process in the relay's folder; returns it and the seconds until it was ready."""
    new = RelayProcess(relay.config, relay.folder)
    new.ops = f"127.0.0.1:{free_port()}"
    return new, await new.start()


async def story(relay: RelayProcess, say: Callable[[str], None]) -> tuple[RelayProcess, dict]:
    """Runs the actions; returns the relay that runs at the end, and facts. Raises TrialFailed."""
    ready_seconds, processes = [], [relay]
    try:
        for number in (signal.SIGTERM, signal.SIGTERM, signal.SIGKILL):
            await asyncio.sleep(PAUSE)
            new, took = await beside(relay)
            processes.append(new)
            ready_seconds.append(took)
            try:
                status = await asyncio.wait_for(relay.kill(number), STOP)
            except TimeoutError:
                raise TrialFailed("the old process did not exit in time") from None
            say(
                f"a second process was ready after {took:.2f} s; the first got {number.name}: status {status}"
            )
            relay = new
        new, took = await beside(relay)
        await new.kill()
        say("another process was killed as soon as it was ready; the old one still serves")
        await bad_files(relay, say)
        if await relay.ask("PUT", relay.ops, "/-/drain") != 200 or await relay.healthy():
            raise TrialFailed("the relay was told to drain, but still admits clients")
        await asyncio.sleep(PAUSE)
        await relay.ask("PUT", relay.ops, "/-/resume")
        if not await relay.healthy():
            raise TrialFailed("the relay was told to resume, but does not admit clients")
        say("drained and resumed")
    except BaseException:
        for process in processes:
            await process.close()
        raise
    return relay, {"upgrades": len(ready_seconds), "ready_s_at_most": max(ready_seconds)}


async def bad_files(relay: RelayProcess, say: Callable[[str], None]) -> None:
    """Reloads three invalid configurations, which must be rejected whole, and then the valid one."""
    path = relay.folder / "config.json"
    good = path.read_text()
    no_attempts = json.loads(good)
    no_attempts["settings"]["allowed"]["maxAttempts"] = 0
    for text in ("", good[: len(good) // 2], json.dumps(no_attempts), good):
        path.write_text(text)
        send_signal(relay.process, signal.SIGHUP)
        await asyncio.sleep(0.2)
    if relay.process.returncode is not None or not await relay.healthy():
        raise TrialFailed("the relay does not serve after SIGHUP with an invalid file")
    say("reloaded three invalid files and a valid one by SIGHUP")
