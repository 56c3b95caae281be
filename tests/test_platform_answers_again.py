"""A registry's or platform's answer that comes a second time answers no other request."""

import asyncio
import json
import unittest

from ryestack.interface import EndpointStatus
from ryestack.wire.members import Members
from ryestack.wire.notices import PlatformNotices
from ryestack.wire.platform import PlatformClient
from ryestack.wire.registry_directory import RegistryDirectory
from ryestack.wire.registry_watch import watch

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

    def version(self, index: int, status: str, whole: bool = True) -> bytes:
        """An answer with one endpoint, as of that version of the list."""
        endpoint = {**listed()["endpoints"][0], "status": status}
        return http(200, json.dumps({"index": index, "snapshot": whole, "endpoints": [endpoint]}).encode())

    async def watched(self, answers: list[bytes], count: int) -> list:
        """The first updates of a watch whose requests get these answers in turn, the last one for ever."""
        updates = asyncio.Queue()
        platform = await self.platform(lambda _: answers.pop(0) if len(answers) > 1 else answers[0])
        task = asyncio.create_task(watch(platform, Members(), updates.put_nowait))
        try:
            return [await asyncio.wait_for(updates.get(), 3.0) for _ in range(count)]
        finally:
            task.cancel()

    async def test_an_older_version_that_comes_after_a_newer_one_does_not_take_back_a_drain(self):
        older, newer = self.version(5, "up"), self.version(6, "draining")
        older_change = self.version(5, "up", whole=False)
        for late in ([older], [older_change], [older, newer, older]):
            updates = await self.watched([older, newer, *late, self.version(7, "draining")], 3)
            seen = [update.endpoints[0].status for update in updates]
            self.assertEqual(seen, [EndpointStatus.READY, EndpointStatus.DRAINING, EndpointStatus.DRAINING])

    async def test_an_older_version_at_a_start_does_not_take_back_a_drain_of_the_configuration(self):
        known = {**listed()["endpoints"][0], "status": "draining"}
        platform = await self.platform(lambda _: self.version(5, "up"))
        directory = RegistryDirectory(platform, {"index": 6, "snapshot": True, "endpoints": [known]})
        self.assertEqual(await directory.fetch_initial(), [])

    async def test_a_registry_that_has_gone_back_to_older_versions_is_followed(self):
        answers = [self.version(6, "draining"), self.version(2, "up"), self.version(2, "up")]
        first, second = await self.watched(answers, 2)
        self.assertEqual(first.endpoints[0].status, EndpointStatus.DRAINING)
        self.assertEqual((second.endpoints[0].status, second.whole), (EndpointStatus.READY, True))


if __name__ == "__main__":
    unittest.main()
