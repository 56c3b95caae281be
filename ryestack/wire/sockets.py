"""What a socket says that its transport does not."""

import asyncio
import select
import socket
import sys

LAST_DATA = slice(52, 56)  # of Linux's tcp_info: milliseconds since the last data came


def unread(transport: asyncio.Transport) -> bool:
    """Whether bytes, or an end, wait in the socket."""
    sock = transport.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return False
    waiting = select.poll()
    waiting.register(sock.fileno(), select.POLLIN)
    return bool(waiting.poll(0))


def waited(transport: asyncio.Transport) -> float:
    """Seconds that the last bytes of a connection have been here, in steps of some milliseconds.

    0.0 where the kernel does not say.
    """
    sock = transport.get_extra_info("socket")
    if sock is None or not hasattr(socket, "TCP_INFO"):
        return 0.0
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, LAST_DATA.stop)
    except OSError:  # it is closed, or no TCP
        return 0.0
    return int.from_bytes(info[LAST_DATA], sys.byteorder) / 1000.0
