"""Injects each trouble of a schedule into the processes of a soak test."""

import asyncio
import errno
import time
from collections.abc import Awaitable, Callable
from random import Random

from .crowd import crowd
from .fault_control import Fault
from .hostile import HostileClients
from .model import Crowded, Disturbed, Drained, Kind, Returned, Trouble
from .processes import Proxy, StandIn

ENDPOINTS = 2  # per partner
CROWD_CLIENTS = 320  # more than a relay has connections for
RETRY_AFTER_S = 0.8  # wait that a partner over its limit sends
ERRNOS = {
    Kind.DISK_FAILS: (errno.ENOSPC, errno.EIO),
    Kind.ACCEPT_FAILS: (errno.ECONNABORTED, errno.ENFILE, errno.ENOBUFS, errno.EMFILE),
    Kind.CONNECT_FAILS: (errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.ENOBUFS),
    Kind.CONNECTIONS_BREAK: (errno.ETIMEDOUT, errno.EHOSTUNREACH),
}
PARTNER_MODES = {
    Kind.PARTNER_HANGS: {"mode": "silent"},
    Kind.PARTNER_RESETS: {"mode": "reset-after", "part": 0.5},
    Kind.PARTNER_LIMITS: {"mode": "full", "wait": RETRY_AFTER_S},
    Kind.PARTNER_ERRORS: {"mode": "error", "part": 0.5},
    Kind.PARTNER_BUSY: {"mode": "full", "part": 0.25},
}
OUTAGE_MODES = {
    Kind.PARTNER_OUTAGE: {"mode": "refuse"},
    Kind.PARTNER_SHUT: {"mode": "full"},
    Kind.PARTNER_FAILS: {"mode": "error"},
}
LINK_MODES = {
    Kind.LINK_LOST: "hole",
    Kind.LINK_RESETS: "reset",
    Kind.LINK_LATE: "late",
    Kind.ANSWERS_AGAIN: "again",
    Kind.LINK_OUT: "out",
    Kind.LINK_BACK: "back",
    Kind.LINK_SLOW: "slow",
    Kind.LINK_HOLDS: "holds",
}


class Troubles(HostileClients):
    """Mixin of Scenario that injects troubles. Scenario sets the attributes."""

    partners: list[StandIn]
    proxies: list[Proxy]
    platform: StandIn
    drained: list[Drained]
    returned: list[Returned]
    disturbed: list[Disturbed]
    platform_proxy: Proxy
    rng: Random

    async def inject(self, trouble: Trouble, begin: float) -> None:
        """Waits for the trouble's time, injects it, and returns when it is over. begin: wall-clock time."""
        await asyncio.sleep(max(0.0, begin + trouble.begin - time.time()))
        description = f"{trouble.kind.value}, {trouble.target}, {trouble.seconds:.1f} s, {trouble.amount:.2f}"
        self.log(f"{trouble.begin:6.2f} {description}")
        await self.handler(trouble)(trouble)

    def handler(self, trouble: Trouble) -> Callable[[Trouble], Awaitable[None]]:
        for kinds, handler in (
            (ERRNOS, self.fail_calls), (PARTNER_MODES, self.change_partner), (LINK_MODES, self.change_link),
            (OUTAGE_MODES, self.partner_outage),
        ):  # fmt: skip
            if trouble.kind in kinds:
                return handler
        return {
            Kind.KILL: self.kill, Kind.STOP: self.stop, Kind.UPGRADE: self.upgrade, Kind.RELOAD: self.reload,
            Kind.PAUSE: self.pause, Kind.CLOCK_STEP: self.step_clock, Kind.DISK_SHORT: self.write_short,
            Kind.SOCKET_IO: self.transfer_short, Kind.LINK_DEAD: self.link_outage,
            Kind.REGISTRY_SILENT: self.silence_registry, Kind.DRAIN: self.drain,
            Kind.CROWD: self.gather_crowd, Kind.PLATFORM_AGAIN: self.repeat_platform,
            Kind.DISK_SLOW: self.slow_disk, Kind.ABUSE: self.abuse, Kind.RETURNS: self.return_again,
        }[trouble.kind]  # fmt: skip

    async def kill(self, trouble: Trouble) -> None:
        await self.relays[trouble.target].kill()

    async def stop(self, trouble: Trouble) -> None:
        await self.relays[trouble.target].stop()

    async def upgrade(self, trouble: Trouble) -> None:
        await self.relays[trouble.target].upgrade()

    async def reload(self, trouble: Trouble) -> None:
        relay = self.relays[trouble.target]
        max_attempts = relay.config["settings"]["allowed"]["maxAttempts"]

        def changed(iteration: int) -> dict:
            allowed = {**relay.config["settings"]["allowed"], "maxAttempts": max_attempts - iteration % 2}
            return {**relay.config, "settings": {**relay.config["settings"], "allowed": allowed}}

        await relay.reload(1 + int(trouble.seconds / 0.15), changed)

    async def pause(self, trouble: Trouble) -> None:
        deadline = time.monotonic() + trouble.seconds
        while time.monotonic() < deadline:
            await self.relays[trouble.target].pause(trouble.amount)
            await asyncio.sleep(self.rng.uniform(0.05, 0.3))

    async def step_clock(self, trouble: Trouble) -> None:
        relay = self.relays[trouble.target]
        relay.clock_offset += trouble.amount
        relay.faults.step_wall_clock(relay.clock_offset)

    async def fail_calls(self, trouble: Trouble) -> None:
        faults = {
            Kind.DISK_FAILS: (Fault.WRITE_FAILS, Fault.TRUNCATE_FAILS, Fault.RENAME_FAILS, Fault.OPEN_FAILS),
            Kind.ACCEPT_FAILS: (Fault.ACCEPT_FAILS,),
            Kind.CONNECT_FAILS: (Fault.CONNECT_FAILS, Fault.SOCKET_FAILS),
            Kind.CONNECTIONS_BREAK: (Fault.RECEIVE_FAILS,),
        }[trouble.kind]
        await self.inject_faults(trouble, faults, self.rng.choice(ERRNOS[trouble.kind]))

    async def write_short(self, trouble: Trouble) -> None:
        await self.inject_faults(trouble, (Fault.WRITE_SHORT, Fault.TRUNCATE_FAILS), errno.EIO)

    async def slow_disk(self, trouble: Trouble) -> None:
        await self.inject_faults(trouble, (Fault.DISK_SLOW,), 0)

    async def transfer_short(self, trouble: Trouble) -> None:
        faults = Fault.SEND_SHORT, Fault.RECEIVE_SHORT, Fault.WAIT_INTERRUPTED
        await self.inject_faults(trouble, faults, 0)

    async def inject_faults(self, trouble: Trouble, faults: tuple[Fault, ...], error: int) -> None:
        control = self.relays[trouble.target].faults
        for fault in faults:
            control.set(fault, trouble.amount, error)
        await asyncio.sleep(trouble.seconds)
        for fault in faults:
            control.set(fault, 0.0)

    def endpoint_names(self, trouble: Trouble) -> list[str]:
        return [f"p{trouble.target}-{each}" for each in range(ENDPOINTS)]

    async def partner_outage(self, trouble: Trouble) -> None:
        partner = self.partners[trouble.target]
        await partner.apply(OUTAGE_MODES[trouble.kind])
        await asyncio.sleep(trouble.seconds)
        returned_at = time.time()
        await partner.apply({"mode": "cold"})
        self.returned += [Returned(name, returned_at) for name in self.endpoint_names(trouble)]

    async def link_outage(self, trouble: Trouble) -> None:
        proxy, begin = self.proxies[trouble.target], time.time()
        await proxy.set_mode("hole")
        await asyncio.sleep(trouble.seconds)
        returned_at = time.time()
        await self.partners[trouble.target].apply({"mode": "cold"})
        await proxy.set_mode("ok")
        self.returned += [Returned(name, returned_at) for name in self.endpoint_names(trouble)]
        self.disturbed += [Disturbed(name, begin, time.time()) for name in self.endpoint_names(trouble)]

    async def change_partner(self, trouble: Trouble) -> None:
        partner = self.partners[trouble.target]
        await partner.apply(PARTNER_MODES[trouble.kind])
        await asyncio.sleep(trouble.seconds)
        await partner.apply({"mode": "ok"})

    async def change_link(self, trouble: Trouble) -> None:
        proxy, begin = self.proxies[trouble.target], time.time()
        await proxy.set_mode(LINK_MODES[trouble.kind])
        await asyncio.sleep(trouble.seconds)
        await proxy.set_mode("ok")
        self.disturbed += [Disturbed(name, begin, time.time()) for name in self.endpoint_names(trouble)]

    async def repeat_platform(self, trouble: Trouble) -> None:
        await self.platform_proxy.set_mode("again")
        await asyncio.sleep(trouble.seconds)
        await self.platform_proxy.set_mode("ok")

    async def gather_crowd(self, trouble: Trouble) -> None:
        begin = time.time()
        await crowd(self.relays[trouble.target].config["listen"], CROWD_CLIENTS, trouble.seconds)
        self.crowded.append(Crowded(trouble.target, begin, time.time()))

    async def silence_registry(self, trouble: Trouble) -> None:
        await self.platform.apply({"silence": "list"})
        await asyncio.sleep(trouble.seconds)
        await self.platform.apply({"silence": "none"})

    async def drain(self, trouble: Trouble) -> None:
        name, begin = self.endpoint_names(trouble)[0], time.time()
        await self.platform.apply({"endpoint": name, "listed": "draining"})
        await asyncio.sleep(trouble.seconds)
        await self.platform.apply({"endpoint": name, "listed": "up"})
        self.drained.append(Drained(name, begin, time.time()))
