"""Accepts connections on a listening socket, and goes on after temporary failures of the system.

asyncio's own server accepts no connection for a second after ENFILE or ENOBUFS, logs a traceback for each,
may go on after it was closed, and closes while connections still wait to be accepted. Clients wait 0.4 s.
"""

import asyncio
import errno
import socket
from collections.abc import Callable

from ..observe.log import event

ACCEPT_BATCH = 4  # connections accepted in one iteration of the loop, each of which may cost a millisecond
BACKLOG = 512
RETRY_DELAY_S = 0.02  # without accepting, while the system or the relay is out of resources
CLOSING_BATCH = 2 * BACKLOG  # connections accepted while closing: as many as the queue holds
OUT_OF_RESOURCES = {errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM}
QUEUE_EMPTY = {errno.EAGAIN, errno.EWOULDBLOCK}


class Acceptor:
    """Gives each accepted connection a protocol from the factory.

    may_accept: called with the number of connections that are being opened; while it is False further ones
    wait in the system's queue, where their bytes are kept. sockets: the listening socket, none once closed.
    failures: the number of failed accepts; pauses: how often connections were left waiting.
    """

    def __init__(
        self,
        sock: socket.socket,
        factory: Callable[[], asyncio.Protocol],
        may_accept: Callable[[int], bool] = lambda opening: True,
    ):
        sock.setblocking(False)
        sock.listen(BACKLOG)
        self.sockets = [sock]
        self.factory, self.may_accept, self.loop = factory, may_accept, asyncio.get_running_loop()
        self.retry_timer: asyncio.TimerHandle | None = None
        self.opening: set[asyncio.Task] = set()
        self.failures = self.pauses = 0
        self.loop.add_reader(sock, self.accept_ready)

    def accept_ready(self) -> None:
        """Accept some of the connections that wait, while there is a place for them."""
        for _ in range(ACCEPT_BATCH):
            if not self.may_accept(len(self.opening)):
                self.pauses += 1
                self.pause()
                return
            if not self.accept_next():
                return

    def accept_next(self) -> bool:
        """Accept one connection; returns whether there was one."""
        try:
            connection, _ = self.sockets[0].accept()
        except OSError as error:
            if error.errno not in QUEUE_EMPTY:
                self.accept_failed(error)
            return False
        connection.setblocking(False)
        task = self.loop.create_task(self.open(connection))
        self.opening.add(task)
        task.add_done_callback(self.opening.discard)
        return True

    async def open(self, connection: socket.socket) -> None:
        """Attach a protocol to an accepted connection."""
        try:
            await self.loop.connect_accepted_socket(self.factory, connection)
        except OSError:  # the peer has closed it already
            connection.close()

    def accept_failed(self, error: OSError) -> None:
        """Log a failed accept.

        An error of one connection affects that one only; lack of resources pauses accepting for a moment.
        """
        self.failures += 1
        event("accept.failed", why=errno.errorcode.get(error.errno, str(error)))
        if error.errno in OUT_OF_RESOURCES:
            self.pause()

    def pause(self) -> None:
        """Accept nothing for a moment."""
        if self.retry_timer is None:
            self.loop.remove_reader(self.sockets[0])
            self.retry_timer = self.loop.call_later(RETRY_DELAY_S, self.resume)

    def resume(self) -> None:
        """Accept again after a pause."""
        self.retry_timer = None
        self.loop.add_reader(self.sockets[0], self.accept_ready)

    def close(self, serve_queue: bool = True) -> None:
        """Stop accepting and close the listening socket.

        serve_queue: first accept the connections that wait in the queue, which the system would reset; False
        where another process accepts from the same queue.
        """
        if not self.sockets:
            return
        if self.retry_timer:
            self.retry_timer.cancel()
        self.loop.remove_reader(self.sockets[0])
        if serve_queue:
            self.accept_queue()
            if self.retry_timer:
                self.retry_timer.cancel()
        self.sockets.pop().close()

    def accept_queue(self) -> None:
        """Accept what the queue holds, for the last time."""
        for _ in range(CLOSING_BATCH):
            if not self.accept_next():
                return
