"""Binds a listening socket, and retries while the system cannot provide one."""

import asyncio
import errno
import socket
import time

from ..observe.log import event
from .acceptor import BACKLOG

RETRY_INTERVAL_S = 0.05
RETRY_LIMIT_S = 8.0  # a restart is ready within ten seconds
# An address in use, or one that this machine does not have, is not among them: an operator has to correct it.
TEMPORARY_ERRORS = {errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.ENETUNREACH}


async def bound_socket(
    host: str, port: int, predecessor_alive: bool = False, reuse: bool = False
) -> socket.socket:
    """A socket that listens at that address; raises OSError.

    reuse: another process of this relay may listen there later. predecessor_alive: one may listen there
    already; else the address must be free.
    """
    give_up_at = time.monotonic() + RETRY_LIMIT_S
    while True:
        try:
            if reuse and not predecessor_alive:
                socket.create_server((host, port), backlog=1).close()
            return socket.create_server((host, port), backlog=BACKLOG, reuse_port=reuse)
        except OSError as error:
            temporary = error.errno in TEMPORARY_ERRORS or (
                error.errno == errno.EADDRNOTAVAIL and is_local(host)
            )
            if not temporary or time.monotonic() > give_up_at:
                raise
            event("accept.failed", why=errno.errorcode[error.errno])
        await asyncio.sleep(RETRY_INTERVAL_S)


def is_local(host: str) -> bool:
    """Whether it is an address that every machine has: EADDRNOTAVAIL for it is temporary."""
    return host.startswith("127.") or host == "0.0.0.0"
