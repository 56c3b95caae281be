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
    unrecorded: those whose push the journal could not record.
    """

    messages: list[PushMessage]
    unacknowledged: list[PushMessage] = field(default_factory=list)
    not_permitted: list[PushMessage] = field(default_factory=list)
    unrecorded: list[PushMessage] = field(default_factory=list)

    def release(self) -> None:
        """Let go of the messages once the call is over: its callbacks refer to the batch, and it to them, so
        that their bodies would stay until the garbage collector runs."""
        self.messages, self.unacknowledged, self.not_permitted, self.unrecorded = [], [], [], []

    async def wait_until_ready(self) -> None:
        """Wait until it is known of each message whether its client was told, and whether it may be sent.

        It may not before the journal has its push.

        The futures are shielded: a call that ends while it waits must not cancel what the next one waits for.
        """
        self.unrecorded = await self.take_out("recorded")
        self.unacknowledged = await self.take_out("acknowledged")
        self.not_permitted = await self.take_out("permitted")

    async def take_out(self, condition: str) -> list[PushMessage]:
        """Take out the messages of which that condition is not met, and return them."""
        futures = [getattr(message, condition) for message in self.messages]
        met = [future is None or await _result(future) for future in futures]
        failed = [message for message, holds in zip(self.messages, met, strict=True) if not holds]
        self.messages = [message for message in self.messages if message not in failed]
        return failed


async def _result(future: asyncio.Future) -> bool:
    return future.result() if future.done() else await asyncio.shield(future)


def request_of(messages: list[PushMessage]) -> tuple[str, bytes, dict[str, str]]:
    """Path, body and headers of the request for one message or several."""
    if len(messages) > 1:
        return "/receive-many", forms.batch_body([(m.id, m.key, m.body) for m in messages]), {}
    [message] = messages
    headers = {"X-Request-Id": message.id}
    if message.key:
        headers["Idempotency-Key"] = message.key
    return "/receive", message.body, headers
