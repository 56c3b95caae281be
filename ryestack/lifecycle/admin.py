"""What staff ask of a relay at its second address, and a drain that they began."""

import asyncio

from ..observe import figures
from .phases import ACCEPT, PHASES, READY, REFUSED

TEXT = "text/plain; charset=utf-8"


class Admin:
    """The part of a relay that answers staff."""

    async def ready(self) -> tuple[int, str, str]:
        return (200, TEXT, "ready\n") if self.phase in READY else (503, TEXT, f"not ready: {self.phase}\n")

    async def metrics(self) -> tuple[int, str, str]:
        parts, owner = self.parts, self.owner
        listed = parts.directory.members.listed()
        values = {
            "upstream_tries_total": parts.dispatcher.written,
            "in_progress": owner.in_progress(),
            "known_endpoints": len(listed),
            "skipped_endpoints": len(owner.brain.avoided(listed)),
            "loads_total": self.loads["taken"],
            "load_errors_total": self.loads["turned down"],
        }
        if parts.control:
            values |= parts.control.figures()
        topics = [topic.name for topic in owner.settings.topic_types]
        return 200, figures.TYPE, figures.text(owner.ended, topics, values)

    async def asked(self, what: str) -> tuple[int, str, str]:
        if self.phase in REFUSED[what]:
            return 409, TEXT, f"it is {self.phase}\n"
        if (self.phase, what) in PHASES:
            await self.happen(what)
        return 200, TEXT, f"{self.phase}\n"

    async def send_away(self) -> None:
        for listener in self.parts.listeners:
            listener.leave()
        loop = asyncio.get_running_loop()
        self.sending_away = loop.call_later(ACCEPT, lambda: loop.create_task(self.sent_away()))

    async def sent_away(self) -> None:
        if self.phase == "emptying":
            await self.happen("sent away long enough")

    async def end_idle(self) -> None:
        self.owner.emptied = True
        for listener in self.parts.listeners:
            listener.empty()

    async def resume(self) -> None:
        self.sending_away.cancel()
        self.owner.emptied = False
        for listener in self.parts.listeners:
            listener.resume()
