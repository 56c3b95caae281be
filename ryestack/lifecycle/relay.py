"""A relay's phases from start to exit, as one table, and the object that goes through them."""

import asyncio
import resource
import signal
import time
from dataclasses import fields

from loguru import logger

from .. import interface as it
from ..store.journal import Journal
from ..store.ledger import Ledger
from ..wire.calls import Calls
from ..wire.members import Members, watch
from ..wire.notices import Notices
from ..wire.platform import Platform
from ..wire.server import Clients
from .config import BadConfig, Config, load
from .owner import Owner

# (phase, what happened) -> (next phase, effect)
PHASES = {
    ("starting", "begun"): ("recovering", "recover"),
    ("recovering", "recovered"): ("serving", "open_door"),
    ("serving", "asked to stop"): ("leaving", "say_so"),
    ("leaving", "accepted long enough"): ("draining", "shut_door"),
    ("serving", "told to reread"): ("serving", "reread"),
    ("leaving", "told to reread"): ("leaving", "reread"),
    ("draining", "told to reread"): ("draining", "reread"),
    ("draining", "settled"): ("winding up", "wind_up"),
    ("draining", "time is short"): ("winding up", "wind_up"),
    ("winding up", "wound up"): ("ended", "end"),
}
ACCEPT = 0.45  # seconds after SIGTERM: new connections come for 0.4 by the protocol, and take a moment
SHORT = 3.2  # after SIGTERM: SIGKILL may come after 3.7, and calls, notices and the exit take some time
LAST = 0.2  # for notices that are owed when calls are wound up
LOOK = 0.05  # seconds between looks at whether all is settled
SUMMARY = 10.0  # seconds between summary lines in the log
OWN_SOCKETS = 32  # for the journal, the watch, notices, the log, what opens while others close
CLIENTS_PART = 0.28  # of all: the front opens a third at most, and no more while idle ones fill that


class Relay:
    def __init__(self, config: Config):
        self.config, self.phase = config, "starting"
        loop = asyncio.get_running_loop()
        self.clock, wall = loop.time, time.time() - loop.time()
        self.members = Members()
        self.known = self.members.learn(config.known)
        self.ledger = Ledger(Journal(config.state, config.disk))
        settings = config.settings
        self.owner = Owner(settings, config.seed, self.ledger, self.clock, wall)
        most = max(8, int(config.sockets * CLIENTS_PART))
        left = max(8, config.sockets - most - OWN_SOCKETS)
        self.calls = Calls(settings, self.members, self.clock, self.owner.put, left)
        self.owner.calls = self.calls
        self.platform = Platform(config.discovery)
        self.notices = Notices(self.platform, self.owner.told_platform)
        self.owner.notices = self.notices
        owner = self.owner
        self.clients = Clients(settings, self.members, self.clock, owner.hand_in, owner.withdraw, most)
        self.tasks, self.stop_asked, self.stop_at = [], asyncio.Event(), 0.0
        self.reread_asked = asyncio.Event()

    async def happen(self, what: str) -> None:
        self.phase, effect = PHASES[self.phase, what]
        logger.info("phase: {} ({})", self.phase, what)
        await getattr(self, effect)()

    async def run(self) -> None:
        """From start to exit; raises if one of the lasting tasks fails."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.stop_asked.set)
        loop.add_signal_handler(signal.SIGHUP, self.reread_asked.set)
        await self.happen("begun")
        await self.happen("recovered")
        await self.until(self.stop_asked.wait())
        self.stop_at = self.clock()
        await self.happen("asked to stop")
        await self.until(asyncio.sleep(ACCEPT))
        await self.happen("accepted long enough")
        while self.clock() < self.stop_at + SHORT and not (self.owner.settled() and not self.clients.busy):
            await self.until(asyncio.sleep(LOOK))
        await self.happen("settled" if self.owner.settled() else "time is short")
        await self.happen("wound up")

    async def until(self, waited) -> None:
        """Wait for one thing; a lasting task that ends before it has failed."""
        waiting = asyncio.ensure_future(waited)
        await asyncio.wait([waiting, *self.tasks], return_when=asyncio.FIRST_COMPLETED)
        for task in self.tasks:
            if task.done():
                task.result()
        await waiting

    async def recover(self) -> None:
        self.ledger.recover()
        self.owner.recover(self.known)

    async def open_door(self) -> None:
        lasting = [
            self.owner.run(),
            self.notices.run(),
            watch(self.platform, self.members, lambda update: self.owner.put([update])),
            self.summaries(),
            self.rereads(),
        ]
        self.tasks = [asyncio.ensure_future(each) for each in lasting]
        await self.clients.listen(self.config.host, self.config.port)
        self.clients.ready = True
        logger.info("{} serves on {}:{}", self.config.name, self.config.host, self.config.port)

    async def say_so(self) -> None:
        self.clients.ready, self.clients.last_answers = False, True
        self.owner.put([it.Leaving(self.stop_at + SHORT)])

    async def shut_door(self) -> None:
        self.clients.stop_listening()

    async def wind_up(self) -> None:
        await self.calls.close()
        if self.owner.queue:
            self.owner.round(self.owner.take_queue())
        for _ in range(int(LAST / LOOK)):
            if self.notices.waiting or self.clients.busy:
                await asyncio.sleep(LOOK)

    async def end(self) -> None:
        self.summary()

    async def close(self) -> None:
        """Let go of all that is held, whatever phase the run came to."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.calls.close()
        await self.platform.close()
        self.ledger.journal.close()

    async def rereads(self) -> None:
        while True:
            await self.reread_asked.wait()
            self.reread_asked.clear()
            if (self.phase, "told to reread") in PHASES:  # else it ends, and has nothing more to learn
                await self.happen("told to reread")

    async def reread(self) -> None:
        """Only the platform's address may change in a life; what is owed and who is connected stays."""
        try:
            told = load()
        except BadConfig as bad:
            logger.warning("configuration: not taken, the old one stays: {}", bad)
            return
        if self.platform.move(told.discovery):
            logger.info("configuration: the platform is reached at {} from now on", told.discovery)
        same = {f.name for f in fields(Config)} - {"discovery", "known", "seed"}
        if any(getattr(told, name) != getattr(self.config, name) for name in same):
            logger.warning("configuration: what else has changed holds from the next start")

    async def summaries(self) -> None:
        while True:
            await asyncio.sleep(SUMMARY)
            self.summary()

    def summary(self) -> None:
        used = resource.getrusage(resource.RUSAGE_SELF)
        counts = ", ".join(f"{what} {count}" for what, count in sorted(self.owner.counts.items()))
        logger.info(
            "since start: {}; owed {}, calls {}, clients {}, journal {} bytes, cpu {:.2f} s, memory {} MB",
            counts or "nothing",
            len(self.ledger.owed),
            len(self.calls.running),
            len(self.clients.server.connections),
            self.ledger.journal.size,
            used.ru_utime + used.ru_stime,
            used.ru_maxrss // 1024,
        )
