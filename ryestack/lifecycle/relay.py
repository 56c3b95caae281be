"""The relay: the object that goes through the phases from start to exit."""

import asyncio
import resource
import signal
import time
from collections import Counter
from dataclasses import fields, replace
from functools import partial

from .. import interface
from ..observe.log import event, flush
from ..observe.process_memory import resident_bytes
from ..wire.staff import StaffServer
from .admin import Admin
from .assembly import assemble
from .config import MEGABYTE, BadConfig, Config, load
from .phases import ACCEPT_AFTER_STOP_S, PHASES, POLL_INTERVAL_S, READY, STOP_DEADLINE_S
from .settings_taker import SettingsTaker
from .starting import Starting
from .state_saver import StateSaver
from .upgrade.channel import Channel, ChannelListener, connect
from .upgrade.handover import Handover
from .upgrade.succession import Succession

FINAL_NOTICES_S = 0.2  # for sending the notices that are owed once the calls have ended
SUCCESSOR_READY_TIMEOUT_S = 0.3  # for a starting successor to report that it serves, once a stop is requested


class Relay(Starting, Admin, Handover, StateSaver, SettingsTaker):
    """One relay process: its parts, its tasks, and the transitions between its phases."""

    def __init__(self, config: Config):
        super().__init__()
        self.config, self.phase = config, "starting"
        loop = asyncio.get_running_loop()
        self.clock, wall = loop.time, time.time() - loop.time()
        self.channel = connect(config.state)
        self.succession = Succession()
        self.channel_listener = ChannelListener(config.state, self.successor_connected)
        self.parts = assemble(config, self.clock, wall)
        self.ledger, self.owner = self.parts.ledger, self.parts.owner
        if self.parts.list_saver:
            self.parts.list_saver.alone = lambda: self.succession.successor == "none"
        if self.parts.control:
            self.parts.control.bind(self.read_control_settings, self.take_control_settings)
        self.tasks, self.stop_requested, self.stop_at = [], asyncio.Event(), 0.0
        self.reload_requested = asyncio.Semaphore(0)
        self.loads = Counter()
        self.staff, self.drain_timer = None, None
        self.adoption_requested, self.successor_serves = asyncio.Event(), asyncio.Event()
        self.channels: set[Channel] = set()
        self.listening_tasks: set[asyncio.Task] = set()

    async def transition(self, trigger: str) -> None:
        """Make the transition that PHASES lists for this trigger; KeyError if there is none."""
        self.phase, effect = PHASES[self.phase, trigger]
        event("phase.changed", phase=self.phase, why=trigger)
        await getattr(self, effect)()

    async def run(self) -> None:
        """Run from start to exit; raises if one of the background tasks fails."""
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self.stop_requested.set)
        loop.add_signal_handler(signal.SIGHUP, self.reload_requested.release)
        await self.transition("begun")
        await self.transition("recovered")
        await self.wait_for(self.stop_requested.wait())
        self.stop_at = self.clock()
        if self.succession.successor == "starting":  # its report that it serves may be on its way
            serves = asyncio.ensure_future(self.successor_serves.wait())
            await self.wait_for(asyncio.wait([serves], timeout=SUCCESSOR_READY_TIMEOUT_S))
        if self.succession.relieved():
            await self.transition("relieved")
        else:
            await self.transition("asked to stop")
            await self.wait_for(asyncio.sleep(ACCEPT_AFTER_STOP_S))
            await self.transition("accepted long enough")
        while self.clock() < self.stop_at + STOP_DEADLINE_S and not (
            self.owner.settled() and not self.has_open_requests()
        ):
            await self.wait_for(asyncio.sleep(POLL_INTERVAL_S))
        await self.transition("settled" if self.owner.settled() else "time is short")
        await self.transition("wound up")

    async def wait_for(self, awaitable) -> None:
        """Wait for an awaitable; raises the error of a background task that ends before it."""
        waiting = asyncio.ensure_future(awaitable)
        await asyncio.wait([waiting, *self.tasks], return_when=asyncio.FIRST_COMPLETED)
        for task in self.tasks:
            if task.done():
                task.result()
        await waiting

    def has_open_requests(self) -> bool:
        """Whether requests are in progress; while stopping, also whether connections are open, since an exit
        resets what is in transit on them."""
        leaving = self.phase not in READY
        return any(
            listener.requests_in_progress or (leaving and listener.connection_count())
            for listener in self.parts.listeners
        )

    async def open_listeners(self) -> None:
        """Effect: start the background tasks and serve clients, the channel and operators."""
        parts = self.parts
        if not parts.peering:
            self.ledger.write_in_groups()
        background = [
            self.owner.run(),
            parts.notices.run(),
            parts.directory.run(self.owner.put),
            self.summaries(),
            self.save_regularly(),
            self.save_failing(),
            self.reread_on_signal(),
            self.adopt_regularly(),
        ]
        if parts.peering:
            background.append(parts.peering.run())
        self.tasks = [asyncio.ensure_future(each) for each in background]
        for listener in parts.listeners:
            handed_over = self.channel.listening_socket if self.channel else None
            beside = self.succession.predecessor != "none"
            address = await listener.open(handed_over, beside)
            event("front.open", protocol=listener.protocol, address=address)
        if self.channel:
            self.channel.send("serves")
            self.start_listening(self.channel, self.succession.on_predecessor)
        self.channel_listener.open()
        self.adoption_requested.set()
        if self.config.ops:
            calls = {
                ("GET", "/-/ready"): self.ready,
                ("GET", "/-/metrics"): self.metrics,
                ("PUT", "/-/drain"): partial(self.request_transition, "told to drain"),
                ("PUT", "/-/resume"): partial(self.request_transition, "told to resume"),
            }
            self.staff = StaffServer(calls, self.config.ops)
            event("staff.open", address=await self.staff.open())

    # -- stopping ---------------------------------------------------------------------------------

    async def announce_stop(self) -> None:
        """Effect: tell clients that the relay leaves, and the decision module by when."""
        for listener in self.parts.listeners:
            listener.start_drain()
        self.owner.put([interface.ShuttingDown(self.stop_at + STOP_DEADLINE_S)])

    async def close_listeners(self) -> None:
        """Effect: accept no more connections."""
        for listener in self.parts.listeners:
            listener.stop_accepting()

    async def wind_up(self) -> None:
        """Effect: end the calls and send the last notices."""
        # A push decided after this would never be sent, but the next process would read that it may have run.
        self.owner.put([interface.ShuttingDown(self.clock())])
        self.owner.round(self.owner.take_queue())
        await self.parts.dispatcher.close()
        if self.owner.queue:
            self.owner.round(self.owner.take_queue())
        self.ledger.flush()
        # If this phase starts late, the time for the last notices is shorter.
        until = min(self.clock(), self.stop_at + STOP_DEADLINE_S) + FINAL_NOTICES_S
        while self.clock() < until and (self.parts.notices.pending_count() or self.has_open_requests()):
            await asyncio.sleep(POLL_INTERVAL_S)

    async def end(self) -> None:
        """Effect: save the state and log a last summary."""
        await self.save_state()
        self.summary()

    async def close(self) -> None:
        """Release all resources, whatever phase the run reached."""
        for task in self.tasks:
            task.cancel()
        if self.staff:
            await self.staff.close()
        self.channel_listener.close()
        for task in self.listening_tasks:
            task.cancel()
        for channel in self.channels:
            channel.close()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.parts.dispatcher.close()
        await self.parts.platform.close()
        for part in (self.parts.peering, self.parts.control):
            if part:
                await part.close()
        if self.parts.list_saver:
            self.parts.list_saver.close()
        self.ledger.close()

    async def reread_on_signal(self) -> None:
        """Reload the configuration once per SIGHUP, until cancelled."""
        while True:
            await self.reload_requested.acquire()  # counts signals, so that several together are not merged
            if (self.phase, "told to reread") in PHASES:  # otherwise the relay is about to exit
                await self.transition("told to reread")

    async def reread(self) -> None:
        """Effect: reload the configuration file, completely or not at all.

        The platform's address and the settings change at once; other changed keys need a restart and are
        listed in the event config.later.
        """
        try:
            reread = load(before=self.config)
            settings = self.settings_after(reread)
        except BadConfig as error:
            self.loads["rejected"] += 1
            event("config.kept", why=str(error))
            return
        self.loads["accepted"] += 1
        if self.parts.platform.move(reread.discovery):
            event("platform.moved", address=reread.discovery)
        self.take_settings(settings)
        self.parts.directory.supersede(reread.known)
        self.config = replace(self.config, discovery=reread.discovery, document=reread.document)
        fixed = {field.name for field in fields(Config)} - {"known", "seed", "settings"}
        if later := sorted(name for name in fixed if getattr(reread, name) != getattr(self.config, name)):
            event("config.later", keys=",".join(later))

    async def summaries(self) -> None:
        """Log a summary at intervals, until cancelled."""
        while True:
            await asyncio.sleep(self.config.operator.log.summary)
            self.summary()
            flush()

    def summary(self) -> None:
        """Log the event relay.summary."""
        used = resource.getrusage(resource.RUSAGE_SELF)
        event(
            "relay.summary",
            counts=dict(self.owner.counts),
            owed=len(self.ledger.owed),
            out=self.parts.dispatcher.in_flight(),
            clients=sum(listener.connection_count() for listener in self.parts.listeners),
            journal=self.ledger.journal.size,
            cpu=round(used.ru_utime + used.ru_stime, 2),
            memory=resident_bytes(peak=True) // MEGABYTE,
            **(self.parts.control.figures() if self.parts.control else {}),
        )
