"""A registry's or platform's answer that comes a second time answers no other request."""

import asyncio
import json
import unittest

from ryestack.interface import EndpointStatus
from ryestack.wire.members import Members
from ryestack.wire.notices import PlatformNotices
from ryestack.wire.platform import PlatformClient
from ryestack.wire.registry import watch

from .helpers import http, listed


class RepeatingServer:
    """Answers the first request of a connection; each later one gets a copy of an earlier answer, unread."""

    def __init__(self, answer):
        self.answer, self.address = answer, ""

    async def start(self) -> None:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def serve(self, reader, writer) -> None:
        first = None
        try:
            while head := await reader.readuntil(b"\r\n\r\n"):
                found = head.lower().partition(b"content-length:")[2]
                body = await reader.readexactly(int(found.split()[0]) if found else 0)
                first = first or self.answer(body)
                writer.write(first)
        except (asyncio.IncompleteReadError, OSError):
            writer.close()


class PlatformAnswersAgain(unittest.IsolatedAsyncioTestCase):
    async def platform(self, answer) -> PlatformClient:
        server = RepeatingServer(answer)
        await server.start()
        self.addAsyncCleanup(server.server.wait_closed)
        self.addCleanup(server.server.close)
        client = PlatformClient(server.address)
        self.addAsyncCleanup(client.close)
        return client

    async def test_copy_of_a_204_does_not_end_a_notice_that_the_platform_never_read(self):
        read, done = [], asyncio.Queue()

        def answer(body: bytes) -> bytes:
            read.extend(json.loads(line)["id"] for line in body.splitlines())
            return http(204)

        notices = PlatformNotices(await self.platform(answer), lambda ids: [done.put_nowait(i) for i in ids])
        task = asyncio.create_task(notices.run())
        for name in "abc":
            notices.add(name, {"state": "failed"})
            self.assertEqual(await asyncio.wait_for(done.get(), 3.0), name)
        task.cancel()
        self.assertEqual(read, ["a", "b", "c"])

    async def test_copy_of_an_old_list_does_not_take_back_a_drain(self):
        index, updates = 4, asyncio.Queue()

        def answer(_: bytes) -> bytes:
            nonlocal index
            index += 1
            status = "up" if index == 5 else "draining"
            endpoint = {**listed()["endpoints"][0], "status": status}
            return http(200, json.dumps({"index": index, "snapshot": True, "endpoints": [endpoint]}).encode())

        task = asyncio.create_task(watch(await self.platform(answer), Members(), updates.put_nowait))
        seen = [(await asyncio.wait_for(updates.get(), 3.0)).endpoints[0].status for _ in range(3)]
        task.cancel()
        self.assertEqual(seen, [EndpointStatus.READY, EndpointStatus.DRAINING, EndpointStatus.DRAINING])


if __name__ == "__main__":
    unittest.main()
