"""The channel between the two processes of an upgrade: a Unix socket in their folder with JSON messages.

The predecessor answers a connection with the descriptor on which clients are served. Everything else are
messages in both directions, each a JSON array on one line. On a system without such sockets there is no
channel, and nothing else fails.
"""

import asyncio
import json
import os
import socket
from pathlib import Path

from ...observe.log import event

SOCKET_NAME = "line"  # in the folder, the same in all versions
ANSWER_TIMEOUT_S = 1.0  # for a predecessor under load to answer; a start must not take more than 6 s
MAX_MESSAGE_BYTES = 16 * 1024 * 1024  # holds the learnt state of thousands of endpoints
MAX_UNREAD_BYTES = 2 * 1024 * 1024  # queued for the other side beyond the state: some minutes of calls
MAX_PATH_BYTES = 100  # of a socket's path that every system supports


class Channel:
    """One end of the channel. listening_socket: the clients' socket, if a predecessor handed it over.

    to_predecessor: whether the other end is the process that this one replaces. answers_claims: whether the
    other end has told that it does. max_unread_bytes: that may wait for the other end.
    """

    def __init__(self, conn: socket.socket, listening_socket: socket.socket | None = None):
        self.conn, self.listening_socket = conn, listening_socket
        self.to_predecessor = self.answers_claims = False
        self.reader, self.writer = None, None
        self.max_unread_bytes = MAX_UNREAD_BYTES

    async def open(self) -> None:
        """Start the streams; only then messages can be sent and received."""
        self.conn.setblocking(False)
        self.reader, self.writer = await asyncio.open_unix_connection(sock=self.conn, limit=MAX_MESSAGE_BYTES)

    def send(self, *message) -> None:
        """Queue a message; closes the channel if the other side does not read."""
        if self.writer.is_closing():
            return
        if self.writer.transport.get_write_buffer_size() > self.max_unread_bytes:  # the other side is stalled
            event("line.broken", why="the other process does not read")
            self.close()
        else:
            self.writer.write(_encode(message))

    def send_state(self, *message) -> None:
        """Queue a part of the state with which the channel begins: it grows with the endpoint list, and does
        not count as unread."""
        if self.writer.is_closing():
            return
        data = _encode(message)
        self.max_unread_bytes += len(data)
        self.writer.write(data)

    async def receive(self) -> list | None:
        """The next message; None once the other side is gone or sends something invalid."""
        try:
            line = await self.reader.readline()
            message = json.loads(line) if line.endswith(b"\n") else None  # else the sender died while sending
            if message is not None and not (isinstance(message, list) and message):
                raise ValueError(f"a message is a JSON {type(message).__name__}, must be a non-empty array")
            return message
        except (OSError, ValueError, RecursionError) as problem:
            event("line.broken", why=repr(problem))
            return None

    def close(self) -> None:
        if self.writer:
            self.writer.close()


def _encode(message: tuple) -> bytes:
    return json.dumps(message, separators=(",", ":")).encode() + b"\n"


def _with_path(folder: str, call) -> None:
    """call(path of the socket); a path too long for the system is replaced by one with the folder's
    descriptor."""
    path = str(Path(folder) / SOCKET_NAME)
    if len(path.encode()) <= MAX_PATH_BYTES:
        call(path)
        return
    fd = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        call(f"/proc/self/fd/{fd}/{SOCKET_NAME}")
    finally:
        os.close(fd)


def connect(folder: str) -> Channel | None:
    """Connect to the process that serves from this folder; None if there is none, or it does not answer."""
    if not (Path(folder) / SOCKET_NAME).exists():
        return None
    conn = None
    try:
        conn = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        conn.settimeout(ANSWER_TIMEOUT_S)
        _with_path(folder, conn.connect)
        data, fds, _, _ = socket.recv_fds(conn, 1, 1)
        if not data:
            raise OSError("the predecessor does not serve any more")
        return Channel(conn, socket.socket(fileno=fds[0]) if fds else None)
    except OSError:
        if conn:
            conn.close()
        return None


class ChannelListener:
    """Listens for a successor; connected(socket) is called for each connection."""

    def __init__(self, folder: str, connected):
        self.folder, self.connected, self.sock = folder, connected, None

    def open(self) -> None:
        """Listen, if the system allows it; otherwise there is no channel."""
        try:
            (Path(self.folder) / SOCKET_NAME).unlink(missing_ok=True)
            self.sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
            self.sock.setblocking(False)
            _with_path(self.folder, self.sock.bind)
            self.sock.listen(4)
            asyncio.get_running_loop().add_reader(self.sock, self.accept)
        except OSError as problem:
            event("line.none", why=str(problem))
            self.close()

    def accept(self) -> None:
        try:
            conn, _ = self.sock.accept()
        except OSError:
            return
        self.connected(conn)

    def close(self) -> None:
        if self.sock:
            asyncio.get_running_loop().remove_reader(self.sock)
            self.sock.close()
            self.sock = None


def hand_over(conn: socket.socket, descriptor: int | None) -> Channel | None:
    """Give a successor the descriptor of the clients' socket; None if it is gone already."""
    try:
        socket.send_fds(conn, [b"D"], [descriptor] if descriptor is not None else [])
    except OSError:
        conn.close()
        return None
    return Channel(conn)
