"""Binds a listening socket, and waits where the system can't give one for a moment."""

import asyncio
import errno
import socket
import time

from ..observe.log import event
from .acceptor import BACKLOG

RETRY = 0.05  # seconds before another try
PATIENCE = 8.0  # seconds: a restart is ready within ten
# Of a moment. An address in use, or one that is none of ours, is for people to mend.
PASSING = {errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.ENETUNREACH}


async def bound_socket(host: str, port: int, beside: bool = False, reuse: bool = False) -> socket.socket:
    """A socket that listens at that address; raises OSError.

    reuse: another process of this relay may listen there later; beside: it may already, else the address must
    be free.
    """
    until = time.monotonic() + PATIENCE
    while True:
        try:
            if reuse and not beside:
                socket.create_server((host, port), backlog=1).close()
            return socket.create_server((host, port), backlog=BACKLOG, reuse_port=reuse)
        except OSError as problem:
            passing = problem.errno in PASSING or (problem.errno == errno.EADDRNOTAVAIL and is_local(host))
            if not passing or time.monotonic() > until:
                raise
            event("accept.failed", why=errno.errorcode[problem.errno])
        await asyncio.sleep(RETRY)


def is_local(host: str) -> bool:
    """An address that every machine has: that it is not available passes."""
    return host.startswith("127.") or host == "0.0.0.0"
