"""A transport that asks before it writes: a call's connection may come up after the call's time."""

import asyncio


class GuardedTransport:
    """Passed to the library as its transport: calls before_write before the bytes of a call are written."""

    def __init__(self, transport: asyncio.Transport, before_write, close):
        self.transport, self.before_write, self.close = transport, before_write, close
        self.is_closing = transport.is_closing

    def write(self, data) -> None:
        self.before_write()
        self.transport.write(data)

    def writelines(self, parts) -> None:
        self.before_write()
        self.transport.writelines(parts)

    def __getattr__(self, name: str):
        return getattr(self.transport, name)
