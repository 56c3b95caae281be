"""Proxy process with one Link per target: `python -m ryestack.lab.soak.proxy SEED HOST:PORT ...`.

Prints the addresses of its links in one line, then reads link modes from standard input, one a line, and sets
each on all links at once.
"""

import asyncio
import sys

from ...standins.links import Link

SLOW_LINK_BYTES_PER_S = 2_000.0


async def serve(seed: int, targets: list[str]) -> None:
    """Runs the links until the end of standard input."""
    links = []
    for number, target in enumerate(targets):
        host, _, port = target.rpartition(":")
        link = Link((host, int(port)), seed + number, drop_on_close=True)
        link.rate = SLOW_LINK_BYTES_PER_S
        await link.start()
        links.append(link)
    print(" ".join(link.address for link in links), flush=True)
    reader = asyncio.StreamReader()
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    while line := await reader.readline():
        for link in links:
            link.turn(line.decode().strip())
    for link in links:
        await link.close()


if __name__ == "__main__":
    asyncio.run(serve(int(sys.argv[1]), sys.argv[2:]))
