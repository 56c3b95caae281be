"""What a socket says that its transport does not."""

import asyncio
import select


def unread(transport: asyncio.Transport) -> bool:
    """Whether bytes, or an end, wait in the socket."""
    sock = transport.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return False
    waiting = select.poll()
    waiting.register(sock.fileno(), select.POLLIN)
    return bool(waiting.poll(0))
