"""A client's request whose bytes come a second time is run once, and leaves the client's answers in order."""

import asyncio
import tempfile
import unittest
from pathlib import Path

from ryestack.lab.trial import TOPICS, RelayProcess, free_port, platform_config, stage
from ryestack.standins.partner import Partner
from ryestack.standins.platform import Platform

ENDED_S = 0.4  # after which a notification to the partner without faults is delivered


def request(name: str) -> bytes:
    """A submission of a once-only notification to the partner without faults."""
    lines = [
        "POST /api HTTP/1.1", "Host: s", f"X-Request-Id: {name}", "X-Class: charge", "X-Tenant: acme",
        "X-Deadline: 6000m", "X-Envelope: dest=3", "Content-Length: 2",
    ]  # fmt: skip
    return "\r\n".join([*lines, "", "hi"]).encode()


class Client:
    """One connection to the relay."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter):
        self.reader, self.writer = reader, writer

    async def status(self) -> int:
        """The status of the next answer; 0 if the relay ends the connection."""
        try:
            head = await asyncio.wait_for(self.reader.readuntil(b"\r\n\r\n"), 2.0)
        except asyncio.IncompleteReadError:
            return 0
        length = head.lower().partition(b"content-length:")[2].split()[0]
        await self.reader.readexactly(int(length))
        return int(head.split()[1])

    async def silent(self) -> bool:
        """Whether no further byte comes for a while."""
        try:
            return not await asyncio.wait_for(self.reader.read(1), 0.2)
        except TimeoutError:
            return True


class RequestsAgain(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.partner = Partner(stage(1))
        await self.partner.start()
        self.addAsyncCleanup(self.partner.close)
        addresses = {name: place.address for name, place in self.partner.places.items()}
        platform = Platform(self.partner.stage, addresses)
        await platform.start()
        self.addAsyncCleanup(platform.close)
        listen = f"127.0.0.1:{free_port()}"
        config = platform_config(listen, platform.address, platform.listing(), TOPICS, 1)
        self.relay = RelayProcess(config, Path(folder.name))
        await self.relay.start()
        self.addAsyncCleanup(self.relay.close)

    async def connect(self) -> Client:
        host, port = self.relay.address.split(":")
        client = Client(*await asyncio.open_connection(host, int(port)))
        self.addCleanup(client.writer.close)
        return client

    def runs(self) -> list[str]:
        return sorted(run.id for run in self.partner.books.runs)

    async def test_copy_on_its_connection_is_neither_run_nor_answered(self):
        client, names = await self.connect(), []
        for delay in (0.0, 0.02, ENDED_S):
            name = f"first-{delay}"
            client.writer.write(request(name))
            await asyncio.sleep(delay)
            client.writer.write(request(name))
            self.assertEqual(await client.status(), 202)
            self.assertTrue(await client.silent(), delay)
            client.writer.write(request(f"next-{delay}"))
            self.assertEqual(await client.status(), 202)
            names += [name, f"next-{delay}"]
        await asyncio.sleep(ENDED_S)
        self.assertEqual(self.runs(), sorted(names))

    async def test_copy_with_the_next_request_behind_it_leaves_each_answer_to_its_request(self):
        client = await self.connect()
        client.writer.write(request("a"))
        self.assertEqual(await client.status(), 202)
        client.writer.write(request("a") + request("b"))
        self.assertEqual(await client.status(), 202)
        self.assertTrue(await client.silent())
        await asyncio.sleep(ENDED_S)
        self.assertEqual(self.runs(), ["a", "b"])

    async def test_request_sent_once_more_on_another_connection_after_its_end_is_not_run_again(self):
        for _ in range(2):
            client = await self.connect()
            client.writer.write(request("a"))
            await client.status()
            await asyncio.sleep(ENDED_S)
        self.assertEqual(self.runs(), ["a"])


if __name__ == "__main__":
    unittest.main()
