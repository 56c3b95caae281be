"""What a socket says that its transport does not."""

import asyncio
import errno
import select
import socket
import struct
import sys
from contextlib import suppress

LAST_DATA = slice(52, 56)  # of Linux's tcp_info: milliseconds since the last data came
UNACKNOWLEDGED = slice(24, 28)  # segments that the other side has not confirmed
NOT_SENT = slice(144, 148)  # bytes that wait for its window
# What a connect or a socket lacks on this machine: no sign of the other side.
OF_THIS_MACHINE = {
    errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL, errno.ENETUNREACH,
}  # fmt: skip
RESET = struct.pack("ii", 1, 0)  # of SO_LINGER: a close throws away what the system still holds


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
    return _number(_tcp_info(transport), LAST_DATA) / 1000.0


def unconfirmed(transport: asyncio.Transport) -> bool:
    """Whether the system holds bytes of ours that the other side has not received, as far as it says."""
    info = _tcp_info(transport)
    return bool(_number(info, UNACKNOWLEDGED) or _number(info, NOT_SENT))


def reset(transport: asyncio.Transport) -> None:
    """Close at once and throw away all that the system holds: it would go on sending it for minutes."""
    sock = transport.get_extra_info("socket")
    if sock is not None:
        with suppress(OSError):  # it is closed
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    transport.abort()


def is_of_this_machine(problem: Exception) -> bool:
    return isinstance(problem, OSError) and problem.errno in OF_THIS_MACHINE


def _tcp_info(transport: asyncio.Transport) -> bytes:
    """Linux's tcp_info of the connection, b"" where the system has none."""
    sock = transport.get_extra_info("socket")
    if sock is None or not hasattr(socket, "TCP_INFO"):
        return b""
    try:
        return sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, NOT_SENT.stop)
    except OSError:  # it is closed, or no TCP
        return b""


def _number(info: bytes, field: slice) -> int:
    return int.from_bytes(info[field], sys.byteorder)
