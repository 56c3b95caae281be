"""A relay's phases from start to exit, as one table, and the object that goes through them."""

import asyncio
import resource
import signal
import time
from collections import Counter
from dataclasses import fields, replace
from functools import partial

from .. import interface
from ..observe.log import event, flush
from ..wire.staff import Staff
from .admin import Admin
from .assembly import assemble
from .config import BadConfig, Config, load
from .phases import ACCEPT, LOOK, PHASES, READY, SHORT
from .settings_taker import SettingsTaker
from .starting import Starting
from .state_saver import StateSaver
from .upgrade.channel import Channel, ChannelListener, connect
from .upgrade.handover import Handover
from .upgrade.succession import Succession

LAST = 0.2  # for notices that are owed when calls are wound up
WORD = 0.3  # for the word of a process after us that it serves, where a stop comes first


class Relay(Starting, Admin, Handover, StateSaver, SettingsTaker):
    def __init__(self, config: Config):
        self.config, self.phase = config, "starting"
        loop = asyncio.get_running_loop()
        self.clock, wall = loop.time, time.time() - loop.time()
        self.channel = connect(config.state)
        self.succession = Succession()
        self.channel_listener = ChannelListener(config.state, self.successor_connected)
        self.parts = assemble(config, self.clock, wall)
        self.ledger, self.owner = self.parts.ledger, self.parts.owner
        if self.parts.control:
            self.parts.control.bind(self.read_control_settings, self.take_control_settings)
        self.tasks, self.stop_asked, self.stop_at = [], asyncio.Event(), 0.0
        self.reread_asked = asyncio.Semaphore(0)
        self.loads = Counter()
        self.staff, self.sending_away = None, None
        self.adoption_asked, self.successor_serves = asyncio.Event(), asyncio.Event()
        self.channels: set[Channel] = set()
        self.following: set[asyncio.Task] = set()

    async def happen(self, what: str) -> None:
        self.phase, effect = PHASES[self.phase, what]
        event("phase.changed", phase=self.phase, why=what)
        await getattr(self, effect)()

    async def run(self) -> None:
        """From start to exit; raises if one of the lasting tasks fails."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.stop_asked.set)
        loop.add_signal_handler(signal.SIGHUP, self.reread_asked.release)
        await self.happen("begun")
        await self.happen("recovered")
        await self.until(self.stop_asked.wait())
        self.stop_at = self.clock()
        if self.succession.successor == "starting":  # its word that it serves may be on its way
            serves = asyncio.ensure_future(self.successor_serves.wait())
            await self.until(asyncio.wait([serves], timeout=WORD))
        if self.succession.relieved():
            await self.happen("relieved")
        else:
            await self.happen("asked to stop")
            await self.until(asyncio.sleep(ACCEPT))
            await self.happen("accepted long enough")
        while self.clock() < self.stop_at + SHORT and not (self.owner.settled() and not self.busy()):
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

    def busy(self) -> bool:
        """Requests under way; on the way out connections too: an exit resets what is on its way."""
        leaving = self.phase not in READY
        return any(listener.busy or (leaving and listener.connections()) for listener in self.parts.listeners)

    async def open_listeners(self) -> None:
        parts = self.parts
        lasting = [
            self.owner.run(),
            parts.notices.run(),
            parts.directory.run(self.owner.put),
            self.summaries(),
            self.save_regularly(),
            self.save_failing(),
            self.rereads(),
            self.adopts(),
        ]
        if parts.peering:
            lasting.append(parts.peering.run())
        self.tasks = [asyncio.ensure_future(each) for each in lasting]
        for listener in parts.listeners:
            handed_over = self.channel.listening_socket if self.channel else None
            beside = self.succession.predecessor != "none"
            address = await listener.open(handed_over, beside)
            event("front.open", protocol=listener.protocol, address=address)
        if self.channel:
            self.channel.send("serves")
            self.follow(self.channel, self.succession.predecessor_is)
        self.channel_listener.open()
        self.adoption_asked.set()
        if self.config.ops:
            calls = {
                ("GET", "/-/ready"): self.ready,
                ("GET", "/-/metrics"): self.metrics,
                ("PUT", "/-/drain"): partial(self.asked, "told to drain"),
                ("PUT", "/-/resume"): partial(self.asked, "told to resume"),
            }
            self.staff = Staff(calls, self.config.ops)
            event("staff.open", address=await self.staff.open())

    # -- the end ----------------------------------------------------------------------------------

    async def announce_stop(self) -> None:
        for listener in self.parts.listeners:
            listener.leave()
        self.owner.put([interface.Leaving(self.stop_at + SHORT)])

    async def close_listeners(self) -> None:
        for listener in self.parts.listeners:
            listener.shut()

    async def wind_up(self) -> None:
        # A push decided from here on would never be made, and the next life would read that it may have run.
        self.owner.put([interface.Leaving(self.clock())])
        self.owner.round(self.owner.take_queue())
        await self.parts.dispatcher.close()
        if self.owner.queue:
            self.owner.round(self.owner.take_queue())
        until = min(self.clock(), self.stop_at + SHORT) + LAST  # a turn that comes late takes from it
        while self.clock() < until and (self.parts.notices.waiting() or self.busy()):
            await asyncio.sleep(LOOK)

    async def end(self) -> None:
        self.save_state()
        self.summary()

    async def close(self) -> None:
        """Let go of all that is held, whatever phase the run came to."""
        for task in self.tasks:
            task.cancel()
        if self.staff:
            await self.staff.close()
        self.channel_listener.close()
        for task in self.following:
            task.cancel()
        for channel in self.channels:
            channel.close()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.parts.dispatcher.close()
        await self.parts.platform.close()
        for part in (self.parts.peering, self.parts.control):
            if part:
                await part.close()
        self.ledger.journal.close()

    async def rereads(self) -> None:
        while True:
            await self.reread_asked.acquire()  # a signal each, also where several come together
            if (self.phase, "told to reread") in PHASES:  # else it ends, and has nothing more to learn
                await self.happen("told to reread")

    async def reread(self) -> None:
        """The platform's address and the settings may change in a life, the whole file or nothing of it."""
        try:
            told = load(before=self.config)
            settings = self.settings_after(told)
        except BadConfig as bad:
            self.loads["turned down"] += 1
            event("config.kept", why=str(bad))
            return
        self.loads["taken"] += 1
        if self.parts.platform.move(told.discovery):
            event("platform.moved", address=told.discovery)
        self.take_settings(settings)
        self.config = replace(self.config, discovery=told.discovery, told=told.told)
        same = {f.name for f in fields(Config)} - {"known", "seed", "settings"}
        if later := sorted(name for name in same if getattr(told, name) != getattr(self.config, name)):
            event("config.later", keys=",".join(later))

    async def summaries(self) -> None:
        while True:
            await asyncio.sleep(self.config.operator.log.summary)
            self.summary()
            flush()

    def summary(self) -> None:
        used = resource.getrusage(resource.RUSAGE_SELF)
        event(
            "relay.summary",
            counts=dict(self.owner.counts),
            owed=len(self.ledger.owed),
            out=self.parts.dispatcher.out(),
            clients=sum(listener.connections() for listener in self.parts.listeners),
            journal=self.ledger.journal.size,
            cpu=round(used.ru_utime + used.ru_stime, 2),
            memory=used.ru_maxrss // 1024,
            **(self.parts.control.figures() if self.parts.control else {}),
        )
