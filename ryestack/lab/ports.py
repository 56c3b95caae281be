"""Free ports on loopback for the processes of a run, each given out once."""

import os
import socket
from collections.abc import Iterator
from contextlib import suppress


class NoFreePort(OSError):
    """All ports that a run may use are taken."""


class PortRange:
    """Free ports for one run, each given once, from a range that no concurrent run has.

    A run holds the first port of its range as long as it lasts.
    """

    FIRST, RANGES, SIZE = 10_000, 40, 550  # below the system's ephemeral ports

    def __init__(self):
        begin, self.holder = self._hold_range()
        self.remaining = iter(range(begin + 1, begin + self.SIZE))

    def _hold_range(self) -> tuple[int, socket.socket]:
        """The first port of a free range and the socket that holds it; raises NoFreePort if none is free."""
        for attempt in range(self.RANGES):
            begin = self.FIRST + (os.getpid() + attempt) % self.RANGES * self.SIZE
            with suppress(OSError):
                return begin, socket.create_server(("127.0.0.1", begin))
        raise NoFreePort(f"{self.RANGES} runs have all ranges of ports")

    def close(self) -> None:
        """Give the range back."""
        self.holder.close()

    def port(self) -> int:
        """Returns a free port; raises NoFreePort when the range is used up."""
        for port in self.remaining:
            with suppress(OSError), socket.create_server(("127.0.0.1", port)):
                return port
        raise NoFreePort("no free port left in the range of this run")

    def address(self) -> str:
        """Returns the address of a free port; raises NoFreePort when the range is used up."""
        return f"127.0.0.1:{self.port()}"


def _ports_of_ranges() -> Iterator[int]:
    """Ports of one range after the other; the ranges are held until the process ends."""
    held = []
    while True:
        held.append(PortRange())
        with suppress(NoFreePort):
            while True:
                yield held[-1].port()


_ports = _ports_of_ranges()


def free_port() -> int:
    """A free port that this process has not given out before and no concurrent run gives out.

    Raises NoFreePort if there is none.
    """
    return next(_ports)
