"""Accepts connections on a listening socket, also while the system fails it for a moment.

asyncio's own server takes no connection for a second after ENFILE or ENOBUFS, logs a traceback for each, may
go on after it was closed, and closes over connections that wait to be accepted. Clients wait 0.4 s.
"""

import asyncio
import errno
import socket
from collections.abc import Callable

from ..observe.log import event

BATCH = 16  # connections accepted in one turn of the loop: what usual clients sent is read between
BACKLOG = 512
RETRY = 0.02  # seconds without accepting after the system had no room
LAST_BATCH = 2 * BACKLOG  # connections accepted as it closes: as many as the queue holds
NO_ROOM = {errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM}
NOTHING_THERE = {errno.EAGAIN, errno.EWOULDBLOCK}


class Acceptor:
    """Gives each connection a protocol from the factory. sockets: the listening one, none once closed."""

    def __init__(self, sock: socket.socket, factory: Callable[[], asyncio.Protocol]):
        sock.setblocking(False)
        sock.listen(BACKLOG)
        self.sockets = [sock]
        self.factory, self.loop = factory, asyncio.get_running_loop()
        self.retry: asyncio.TimerHandle | None = None
        self.opening: set[asyncio.Task] = set()
        self.failures = 0
        self.loop.add_reader(sock, self.accept_ready)

    def accept_ready(self, most: int = BATCH) -> None:
        for _ in range(most):
            try:
                connection, _ = self.sockets[0].accept()
            except OSError as problem:
                if problem.errno not in NOTHING_THERE:
                    self.failed(problem)
                return
            connection.setblocking(False)
            task = self.loop.create_task(self.open(connection))
            self.opening.add(task)
            task.add_done_callback(self.opening.discard)

    async def open(self, connection: socket.socket) -> None:
        try:
            await self.loop.connect_accepted_socket(self.factory, connection)
        except OSError:  # it is gone already
            connection.close()

    def failed(self, problem: OSError) -> None:
        """An error of one connection ends that one; want of room ends for a moment what asks for it."""
        self.failures += 1
        event("accept.failed", why=errno.errorcode.get(problem.errno, str(problem)))
        if problem.errno in NO_ROOM and self.retry is None:
            self.loop.remove_reader(self.sockets[0])
            self.retry = self.loop.call_later(RETRY, self.go_on)

    def go_on(self) -> None:
        self.retry = None
        self.loop.add_reader(self.sockets[0], self.accept_ready)

    def close(self, serve_queue: bool = True) -> None:
        """serve_queue: take what waits to be accepted first, which the system would reset; not where another
        process accepts from the same queue."""
        if not self.sockets:
            return
        if self.retry:
            self.retry.cancel()
        self.loop.remove_reader(self.sockets[0])
        if serve_queue:
            self.accept_ready(LAST_BATCH)
            if self.retry:
                self.retry.cancel()
        self.sockets.pop().close()
