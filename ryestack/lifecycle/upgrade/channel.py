"""The channel between the two processes of an upgrade: a Unix socket in their folder, a JSON array a message.

The predecessor answers a caller with the descriptor on which clients are served; all else are messages, both
ways. Where no such socket can be had there is no channel, and nothing else fails.
"""

import asyncio
import json
import os
import socket
from pathlib import Path

from ...observe.log import event

NAME = "line"  # of the socket in the folder, the same in all versions
PATIENCE = 1.0  # seconds for a predecessor to answer: it serves under load, and a start is owed within six
LONGEST_MESSAGE = 16 * 1024 * 1024  # bytes: all that is learnt of thousands of endpoints
UNREAD = 2 * 1024 * 1024  # bytes of messages that wait for the other side: some minutes of calls
LONGEST_PATH = 100  # bytes of a socket's path that every system takes


class Channel:
    """One end of the socket; listening_socket: the clients' own, where a predecessor handed it over."""

    def __init__(self, conn: socket.socket, listening_socket: socket.socket | None = None):
        self.conn, self.listening_socket = conn, listening_socket
        self.reader, self.writer = None, None

    async def open(self) -> None:
        self.conn.setblocking(False)
        self.reader, self.writer = await asyncio.open_unix_connection(sock=self.conn, limit=LONGEST_MESSAGE)

    def send(self, *message) -> None:
        """Queue a message; a side that does not read them is let go of."""
        if self.writer.is_closing():
            return
        if self.writer.transport.get_write_buffer_size() > UNREAD:  # it stands still
            event("line.broken", why="the other process does not read")
            self.close()
        else:
            self.writer.write(json.dumps(message, separators=(",", ":")).encode() + b"\n")

    async def receive(self) -> list | None:
        """The next message; None once the other side is gone."""
        try:
            line = await self.reader.readline()
            message = json.loads(line) if line.endswith(b"\n") else None  # else its sender died within it
            if message is not None and not (isinstance(message, list) and message):
                raise ValueError("no message")
            return message
        except (OSError, ValueError, RecursionError) as problem:
            event("line.broken", why=repr(problem))
            return None

    def close(self) -> None:
        if self.writer:
            self.writer.close()


def _with_path(folder: str, call) -> None:
    """call(path of the socket); one too long for the system goes by the folder's descriptor."""
    path = str(Path(folder) / NAME)
    if len(path.encode()) <= LONGEST_PATH:
        call(path)
        return
    fd = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        call(f"/proc/self/fd/{fd}/{NAME}")
    finally:
        os.close(fd)


def connect(folder: str) -> Channel | None:
    """Call the process that serves from this folder; None if there is none, or it does not answer."""
    if not (Path(folder) / NAME).exists():
        return None
    conn = None
    try:
        conn = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        conn.settimeout(PATIENCE)
        _with_path(folder, conn.connect)
        said, fds, _, _ = socket.recv_fds(conn, 1, 1)
        if not said:
            raise OSError("it serves no more")
        return Channel(conn, socket.socket(fileno=fds[0]) if fds else None)
    except OSError:
        if conn:
            conn.close()
        return None


class ChannelListener:
    """Where a successor finds us; connected(socket) is called with each that comes."""

    def __init__(self, folder: str, connected):
        self.folder, self.connected, self.sock = folder, connected, None

    def open(self) -> None:
        try:
            (Path(self.folder) / NAME).unlink(missing_ok=True)
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
    """Give a successor the descriptor that clients come to; None if it is gone already."""
    try:
        socket.send_fds(conn, [b"D"], [descriptor] if descriptor is not None else [])
    except OSError:
        conn.close()
        return None
    return Channel(conn)
