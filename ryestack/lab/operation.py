"""What staff do to a relay in a day, in one run: upgrades, a kill within one, bad files, a drain."""

import asyncio
import json
import signal
from collections.abc import Callable

from .trial import RelayProcess, TrialFailed, free_port

PAUSE = 0.7  # seconds of load between two things that befall it
LOAD = 16.0  # seconds of hand-ins: all of the story falls into them
STOP = 3.7  # seconds from SIGTERM to SIGKILL on the platform


async def beside(relay: RelayProcess) -> tuple[RelayProcess, float]:
    """The same relay once more, in the same folder; seconds until it was ready."""
    new = RelayProcess(relay.config, relay.folder)
    new.ops = f"127.0.0.1:{free_port()}"
    return new, await new.start()


async def story(relay: RelayProcess, say: Callable[[str], None]) -> tuple[RelayProcess, dict]:
    ready, alive = [], [relay]
    try:
        for how in (signal.SIGTERM, signal.SIGTERM, signal.SIGKILL):
            await asyncio.sleep(PAUSE)
            new, took = await beside(relay)
            alive.append(new)
            ready.append(took)
            try:
                status = await asyncio.wait_for(relay.kill(how), STOP)
            except TimeoutError:
                raise TrialFailed("the old process did not leave in time") from None
            say(f"a second process was ready after {took:.2f} s; the first got {how.name}: status {status}")
            relay = new
        new, took = await beside(relay)
        await new.kill()
        say("one more was killed as soon as it was ready; the old one serves on")
        await bad_files(relay, say)
        if await relay.ask("PUT", relay.ops, "/-/drain") != 200 or await relay.healthy():
            raise TrialFailed("it was told to drain, and clients are still let in")
        await asyncio.sleep(PAUSE)
        await relay.ask("PUT", relay.ops, "/-/resume")
        if not await relay.healthy():
            raise TrialFailed("it was told to take clients again, and does not")
        say("drained and resumed")
    except BaseException:
        for each in alive:
            await each.close()
        raise
    return relay, {"upgrades": len(ready), "ready_s_at_most": max(ready)}


async def bad_files(relay: RelayProcess, say: Callable[[str], None]) -> None:
    """Each is turned down whole; the good one after them is taken."""
    path = relay.folder / "config.json"
    good = path.read_text()
    zero = json.loads(good)
    zero["settings"]["allowed"]["maxAttempts"] = 0
    for text in ("", good[: len(good) // 2], json.dumps(zero), good):
        path.write_text(text)
        relay.process.send_signal(signal.SIGHUP)
        await asyncio.sleep(0.2)
    if relay.process.returncode is not None or not await relay.healthy():
        raise TrialFailed("a bad file at SIGHUP ended it")
    say("three bad files and a good one at SIGHUP")
