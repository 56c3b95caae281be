"""Connections to the platform that fail: notices must not fall behind their time for it."""

import asyncio
import errno
import socket
import time
import unittest
from unittest import mock

from ryestack.wire.notices import PlatformNotices
from ryestack.wire.platform import PlatformClient

from .helpers import http, stand_in

NOTICES = 30
LOST_AFTER_S = 0.3  # that a notice may come after its notification's time


class PlatformConnects(unittest.IsolatedAsyncioTestCase):
    async def send_all(self, error: int) -> tuple[float, list[int]]:
        """Seconds until all notices had arrived while five of six connects fail, and lines in each post."""
        posts, done, connects = [], asyncio.Queue(), 0
        server, address = await stand_in(lambda _, body: posts.append(len(body.splitlines())) or http(204))
        client = PlatformClient(address)
        notices = PlatformNotices(client, lambda names: [done.put_nowait(name) for name in names])
        loop = asyncio.get_running_loop()
        real = loop.sock_connect

        async def connect(sock: socket.socket, target) -> None:
            nonlocal connects
            connects += 1
            if connects % 6:
                raise OSError(error, "injected")
            await real(sock, target)

        with mock.patch.object(loop, "sock_connect", connect):
            began = time.monotonic()
            for number in range(NOTICES):
                notices.add(f"n{number}", {"state": "failed"})
            task = asyncio.create_task(notices.run())
            async with asyncio.timeout(20.0):
                for _ in range(NOTICES):
                    await done.get()
            elapsed = time.monotonic() - began
        task.cancel()
        await client.close()
        server.close()
        return elapsed, posts

    async def test_connects_that_this_machine_fails_do_not_delay_notices(self):
        elapsed, posts = await self.send_all(errno.EADDRNOTAVAIL)
        self.assertEqual(posts, [NOTICES])
        self.assertLess(elapsed, LOST_AFTER_S)

    async def test_notices_stay_together_behind_a_refused_connection(self):
        _, posts = await self.send_all(errno.ECONNREFUSED)
        self.assertEqual(posts, [NOTICES])

    async def test_a_lost_answer_of_the_platform_does_not_make_its_notices_late(self):
        done, bodies, silent = asyncio.Queue(), [], 3  # as many posts as are made side by side

        async def serve(reader, writer):
            head = await reader.readuntil(b"\r\n\r\n")
            body = await reader.readexactly(int(head.lower().partition(b"content-length:")[2].split()[0]))
            bodies.append(body)
            if len(bodies) > silent:
                writer.write(http(204))

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        client = PlatformClient(f"{host}:{port}")
        notices = PlatformNotices(client, lambda names: [done.put_nowait(name) for name in names])
        task = asyncio.create_task(notices.run())
        for number in range(silent):
            notices.add(f"n{number}", {"state": "failed"})
            await asyncio.sleep(0.01)
        async with asyncio.timeout(LOST_AFTER_S):
            names = {await done.get() for _ in range(silent)}
        self.assertEqual((names, notices.pending_count()), ({"n0", "n1", "n2"}, 0))
        task.cancel()
        await client.close()
        server.close()

    async def test_a_post_that_gets_no_answer_does_not_hold_up_later_notices(self):
        answered, done, bodies = asyncio.Event(), asyncio.Queue(), []

        async def serve(reader, writer):
            head = await reader.readuntil(b"\r\n\r\n")
            body = await reader.readexactly(int(head.lower().partition(b"content-length:")[2].split()[0]))
            bodies.append(body)
            if b"slow" in body:
                await answered.wait()
            writer.write(http(204))

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        client = PlatformClient(f"{host}:{port}")
        notices = PlatformNotices(client, lambda names: [done.put_nowait(name) for name in names])
        task = asyncio.create_task(notices.run())
        await asyncio.sleep(0.05)
        notices.add("slow", {"state": "failed"})
        await asyncio.sleep(0.05)
        notices.add("later", {"state": "failed"})
        self.assertEqual(await asyncio.wait_for(done.get(), LOST_AFTER_S), "later")
        self.assertEqual(notices.pending_count(), 1)
        answered.set()
        self.assertEqual(await asyncio.wait_for(done.get(), LOST_AFTER_S), "slow")
        self.assertEqual((notices.pending_count(), len(bodies)), (0, 2))
        task.cancel()
        await client.close()
        server.close()


if __name__ == "__main__":
    unittest.main()
