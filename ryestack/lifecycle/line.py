"""The line between the two processes of an upgrade: a Unix socket in their folder, a JSON array a word.

The elder answers a caller with the descriptor on which clients are served; all else are words, both ways.
Where no such socket can be had there is no line, and nothing else fails.
"""

import asyncio
import json
import os
import socket
from pathlib import Path

from ..observe.log import event

NAME = "line"
PATIENCE = 1.0  # seconds for an elder to answer: it serves under load, and a start is owed within six
MOST = 16 * 1024 * 1024  # bytes of a word: all that is learnt of thousands of endpoints
UNREAD = 2 * 1024 * 1024  # bytes of words that wait for the other side: some minutes of calls
LONGEST = 100  # bytes of a socket's path that every system takes


class Line:
    def __init__(self, conn: socket.socket, door: socket.socket | None = None):
        self.conn, self.door = conn, door  # door: the clients' listening socket, from an elder
        self.reader, self.writer = None, None

    async def open(self) -> None:
        self.conn.setblocking(False)
        self.reader, self.writer = await asyncio.open_unix_connection(sock=self.conn, limit=MOST)

    def say(self, *word) -> None:
        if self.writer.is_closing():
            return
        if self.writer.transport.get_write_buffer_size() > UNREAD:  # it stands still
            event("line.broken", why="the other process does not read")
            self.close()
        else:
            self.writer.write(json.dumps(word, separators=(",", ":")).encode() + b"\n")

    async def word(self) -> list | None:
        """The next word; None once the other side is gone."""
        try:
            line = await self.reader.readline()
            word = json.loads(line) if line.endswith(b"\n") else None  # else its sender died within it
            if word is not None and not (isinstance(word, list) and word):
                raise ValueError("no word")
            return word
        except (OSError, ValueError, RecursionError) as problem:
            event("line.broken", why=repr(problem))
            return None

    def close(self) -> None:
        if self.writer:
            self.writer.close()


def _at(folder: str, call) -> None:
    """A socket's path may be too long for the system: then it goes by the folder's descriptor."""
    path = str(Path(folder) / NAME)
    if len(path.encode()) <= LONGEST:
        call(path)
        return
    fd = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        call(f"/proc/self/fd/{fd}/{NAME}")
    finally:
        os.close(fd)


def hail(folder: str) -> Line | None:
    """Call the process that serves from this folder; None if there is none, or it does not answer."""
    if not (Path(folder) / NAME).exists():
        return None
    conn = None
    try:
        conn = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        conn.settimeout(PATIENCE)
        _at(folder, conn.connect)
        said, fds, _, _ = socket.recv_fds(conn, 1, 1)
        if not said:
            raise OSError("it serves no more")
        return Line(conn, socket.socket(fileno=fds[0]) if fds else None)
    except OSError:
        if conn:
            conn.close()
        return None


class Post:
    """Where an heir finds us; hailed(line) is told each caller."""

    def __init__(self, folder: str, hailed):
        self.folder, self.hailed, self.sock = folder, hailed, None

    def open(self) -> None:
        try:
            (Path(self.folder) / NAME).unlink(missing_ok=True)
            self.sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
            self.sock.setblocking(False)
            _at(self.folder, self.sock.bind)
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
        self.hailed(conn)

    def close(self) -> None:
        if self.sock:
            asyncio.get_running_loop().remove_reader(self.sock)
            self.sock.close()
            self.sock = None


def answer(conn: socket.socket, door: int | None) -> Line | None:
    """Hand an heir the descriptor that clients come to; None if it is gone already."""
    try:
        socket.send_fds(conn, [b"D"], [door] if door is not None else [])
    except OSError:
        conn.close()
        return None
    return Line(conn)
