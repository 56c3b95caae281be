"""The messages of one call: which of them may go, and the request that carries them."""

import asyncio
from dataclasses import dataclass, field

from ..ports import PushMessage
from . import forms


@dataclass(slots=True)
class Batch:
    """items: those that go, or are not known not to; void: their clients do not know that they are taken on;
    held: they may not go yet."""

    items: list[PushMessage]
    void: list[PushMessage] = field(default_factory=list)
    held: list[PushMessage] = field(default_factory=list)

    async def wait_until_clear(self) -> None:
        """Until it is known of each whether its client has heard, and whether it may go.

        Shielded: a call that ends while it waits must not take away what the next one waits for.
        """
        heard = [i.acknowledged is None or await asyncio.shield(i.acknowledged) for i in self.items]
        self.void = [item for item, told in zip(self.items, heard, strict=True) if not told]
        self.items = [item for item in self.items if item not in self.void]
        clear = [i.cleared is None or await asyncio.shield(i.cleared) for i in self.items]
        self.held = [item for item, may in zip(self.items, clear, strict=True) if not may]
        self.items = [item for item in self.items if item not in self.held]


def request_of(items: list[PushMessage]) -> tuple[str, bytes, dict[str, str]]:
    """Path, body and headers of the request for one message or several."""
    if len(items) > 1:
        return "/receive-many", forms.many([(i.id, i.key, i.body) for i in items]), {}
    [item] = items
    headers = {"X-Request-Id": item.id}
    if item.key:
        headers["Idempotency-Key"] = item.key
    return "/receive", item.body, headers
