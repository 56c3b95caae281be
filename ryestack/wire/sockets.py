"""The state of a connection's socket that its transport does not expose."""

import asyncio
import errno
import select
import socket
import struct
import sys
from contextlib import suppress

import aiohttp

# Fields of Linux's tcp_info, as byte ranges.
LAST_DATA_RECEIVED_MS = slice(52, 56)  # milliseconds since the last data came
UNACKNOWLEDGED_SEGMENTS = slice(24, 28)  # sent, and not confirmed by the peer
NOT_SENT_BYTES = slice(144, 148)  # waiting for the peer's window
# Errors of a connect or a socket that come from this machine, and tell nothing about the peer.
LOCAL_ERRORS = {
    errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL, errno.ENETUNREACH,
}  # fmt: skip
# Errors of a request whose peer's process has ended: its connections are reset, and new ones refused.
PROCESS_ENDED_ERRORS = {errno.ECONNREFUSED, errno.ECONNRESET, errno.EPIPE}
LINGER_RESET = struct.pack("ii", 1, 0)  # SO_LINGER: a close discards what the system still holds


def has_unread(transport: asyncio.Transport) -> bool:
    """Whether unread bytes, or an unread end of the connection, wait in the socket."""
    return _has_event(transport, select.POLLIN, closed=False)


def peer_has_ended(transport: asyncio.Transport) -> bool:
    """Whether the peer has ended or reset the connection, though what it sent before may still be unread."""
    return _has_event(transport, select.POLLRDHUP, closed=True)


def _has_event(transport: asyncio.Transport, event: int, closed: bool) -> bool:
    """Whether an event of select.poll is there; closed: the answer for a socket that is closed."""
    sock = transport.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return closed
    poll = select.poll()
    poll.register(sock.fileno(), event)
    return bool(poll.poll(0))


def seconds_since_received(transport: asyncio.Transport) -> float:
    """Seconds since the last bytes of a connection were received, in steps of some milliseconds.

    0.0 where the kernel does not say.
    """
    return _number(_tcp_info(transport), LAST_DATA_RECEIVED_MS) / 1000.0


def has_unacknowledged(transport: asyncio.Transport) -> bool:
    """Whether the system holds sent bytes that the peer has not received, as far as the system says."""
    info = _tcp_info(transport)
    return bool(_number(info, UNACKNOWLEDGED_SEGMENTS) or _number(info, NOT_SENT_BYTES))


def reset(transport: asyncio.Transport) -> None:
    """Close at once and discard all that the system holds: it would go on sending it for minutes."""
    sock = transport.get_extra_info("socket")
    if sock is not None:
        with suppress(OSError):  # the socket is closed
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
    transport.abort()


def is_local_fault(error: Exception) -> bool:
    """Whether an error comes from this machine rather than the peer."""
    return isinstance(error, OSError) and error.errno in LOCAL_ERRORS


def shows_process_ended(error: Exception) -> bool:
    """Whether an error of a request shows that the process at the peer's address is gone, or was."""
    return isinstance(error, aiohttp.ServerDisconnectedError) or (
        isinstance(error, OSError) and error.errno in PROCESS_ENDED_ERRORS
    )


def _tcp_info(transport: asyncio.Transport) -> bytes:
    """Linux's tcp_info of the connection, b"" where the system has none."""
    sock = transport.get_extra_info("socket")
    if sock is None or not hasattr(socket, "TCP_INFO"):
        return b""
    try:
        return sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, NOT_SENT_BYTES.stop)
    except OSError:  # the socket is closed, or not TCP
        return b""


def _number(info: bytes, field: slice) -> int:
    return int.from_bytes(info[field], sys.byteorder)
