"""The messages of one call: which of them may be sent, and the request that carries them."""

import asyncio
from dataclasses import dataclass, field

from ..ports import PushMessage
from . import forms


@dataclass(slots=True)
class Batch:
    """The messages of one call, by whether they may be sent.

    messages: those that may be sent, or of which it is not known yet. unacknowledged: those whose clients
    were not told that the notification is accepted. not_permitted: those that may not be sent yet.
    """

    messages: list[PushMessage]
    unacknowledged: list[PushMessage] = field(default_factory=list)
    not_permitted: list[PushMessage] = field(default_factory=list)

    async def wait_until_ready(self) -> None:
        """Wait until it is known of each message whether its client was told, and whether it may be sent.

        The futures are shielded: a call that ends while it waits must not cancel what the next one waits for.
        """
        acknowledged = [m.acknowledged is None or await asyncio.shield(m.acknowledged) for m in self.messages]
        self.unacknowledged = [m for m, known in zip(self.messages, acknowledged, strict=True) if not known]
        self.messages = [message for message in self.messages if message not in self.unacknowledged]
        permitted = [m.permitted is None or await asyncio.shield(m.permitted) for m in self.messages]
        self.not_permitted = [m for m, may in zip(self.messages, permitted, strict=True) if not may]
        self.messages = [message for message in self.messages if message not in self.not_permitted]


def request_of(messages: list[PushMessage]) -> tuple[str, bytes, dict[str, str]]:
    """Path, body and headers of the request for one message or several."""
    if len(messages) > 1:
        return "/receive-many", forms.batch_body([(m.id, m.key, m.body) for m in messages]), {}
    [message] = messages
    headers = {"X-Request-Id": message.id}
    if message.key:
        headers["Idempotency-Key"] = message.key
    return "/receive", message.body, headers
