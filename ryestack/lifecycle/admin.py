"""What staff ask of a relay at its second address, and a drain that they began."""

import asyncio
from collections import Counter

from ..brain.invariants import Rule
from ..observe import figures
from ..ports import CloseReason
from .admission import Refusal
from .phases import ACCEPT, PHASES, READY, REFUSED
from .pushing import Unsent

TEXT = "text/plain; charset=utf-8"


class Admin:
    """The part of a relay that answers staff."""

    async def ready(self) -> tuple[int, str, str]:
        return (200, TEXT, "ready\n") if self.phase in READY else (503, TEXT, f"not ready: {self.phase}\n")

    async def metrics(self) -> tuple[int, str, str]:
        parts, owner = self.parts, self.owner
        listed = parts.directory.members.listed_names()
        values = {
            "upstream_tries_total": parts.dispatcher.written,
            "in_progress": owner.in_progress(),
            "known_endpoints": len(listed),
            "skipped_endpoints": len(owner.brain.skipped_endpoints(listed)),
            "loads_total": self.loads["taken"],
            "load_errors_total": self.loads["turned down"],
        }
        if parts.control:
            values |= parts.control.figures()
        topics = [topic.name for topic in owner.settings.topic_types]
        return 200, figures.CONTENT_TYPE, figures.render(owner.ended, topics, values, self.labelled())

    def labelled(self) -> dict[str, dict[str, int]]:
        """Counts with a reason each, also of those that have not been seen yet."""
        owner = self.owner
        closed = sum((listener.closed_connections for listener in self.parts.listeners), Counter())
        return {
            "invariant_violations_total": {rule.value: owner.invariants.counts[rule] for rule in Rule},
            "refused_total": {why.value: owner.refused[why] for why in Refusal},
            "pushes_unsent_total": {why.value: owner.unsent[why] for why in Unsent},
            "retries_total": {after or "a life before": count for after, count in owner.retries.items()},
            "client_connections_closed_total": {why.value: closed[why] for why in CloseReason},
        }

    async def asked(self, what: str) -> tuple[int, str, str]:
        if self.phase in REFUSED[what]:
            return 409, TEXT, f"it is {self.phase}\n"
        if (self.phase, what) in PHASES:
            await self.happen(what)
        return 200, TEXT, f"{self.phase}\n"

    async def send_away(self) -> None:
        for listener in self.parts.listeners:
            listener.start_drain()
        loop = asyncio.get_running_loop()
        self.sending_away = loop.call_later(ACCEPT, lambda: loop.create_task(self.sent_away()))

    async def sent_away(self) -> None:
        if self.phase == "emptying":
            await self.happen("sent away long enough")

    async def end_idle(self) -> None:
        self.owner.emptied = True
        for listener in self.parts.listeners:
            listener.close_idle_clients()

    async def resume(self) -> None:
        self.sending_away.cancel()
        self.owner.emptied = False
        for listener in self.parts.listeners:
            listener.resume()
