"""A registry whose answers are right and whole, but late: they are news all the same."""

import asyncio
import json
import unittest

from ryestack.interface import EndpointStatus
from ryestack.membership import following
from ryestack.wire.members import Members
from ryestack.wire.platform import PlatformClient
from ryestack.wire.registry_watch import watch

from .helpers import http
from .list_processes import changed, row, whole

PIECES = 10  # that a slow body comes in


class SlowRegistry:
    """Answers each request as its list was when the request came, `delay` seconds late, or its body in pieces
    over that time."""

    def __init__(self, delay, in_pieces=False):
        self.delay, self.in_pieces, self.message = delay, in_pieces, whole(1, row("a1", 1, 7))
        self.swallows, self.began, self.news = False, [], asyncio.Event()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        return self

    async def serve(self, reader, writer):
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            self.began.append(asyncio.get_running_loop().time())
            if self.swallows:
                return await reader.read()  # until the relay gives it up
            reply = http(200, json.dumps(await self.answer(head)).encode())
            await self.write(writer, reply)
        except OSError:
            pass
        finally:
            writer.close()

    async def answer(self, head):
        pairs = head.split(b" ")[1].decode().partition("?")[2].split("&")
        query = dict(pair.split("=") for pair in pairs if pair)
        version = int(query.get("from", -1))
        if version >= self.message["index"]:
            hold = float(query["hold_ms"]) / 1000.0
            try:
                await asyncio.wait_for(self.news.wait(), hold)
            except TimeoutError:
                return changed(self.message["index"])
        return self.message

    async def write(self, writer, reply):
        if not self.in_pieces:
            await asyncio.sleep(self.delay)
            writer.write(reply)
            return await writer.drain()
        size = -(-len(reply) // PIECES)
        for start in range(0, len(reply), size):
            writer.write(reply[start : start + size])
            await writer.drain()
            await asyncio.sleep(self.delay / PIECES)

    def change(self, message):
        self.message = message
        self.news.set()


class SlowAnswers(unittest.IsolatedAsyncioTestCase):
    async def known_after(self, registry, silence_s=0.0):
        """Seconds from a change that drains the endpoint until it is in force."""
        updates, clock = asyncio.Queue(), asyncio.get_running_loop().time
        members = Members()
        members.apply_list(registry.message)
        platform = PlatformClient(registry.address)
        task = asyncio.ensure_future(watch(platform, members, updates.put_nowait))
        try:
            await asyncio.sleep(registry.delay + following.GRACE_S)
            registry.swallows = True
            await asyncio.sleep(silence_s)
            registry.swallows = False
            registry.change(changed(2, row("a1", 1, 7, "draining")))
            at = clock()
            async with asyncio.timeout(following.MAX_AGE_S):
                while True:
                    update = await updates.get()
                    if any(each.status is EndpointStatus.DRAINING for each in update.endpoints):
                        return clock() - at
        finally:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            await platform.close()
            registry.server.close()

    async def test_answers_that_come_late_are_thrown_away_and_a_change_is_never_known(self):
        # Review case 9: each request was given up after 1 s, and so was the next one.
        cases = [SlowRegistry(1.4), SlowRegistry(2.4), SlowRegistry(1.8, in_pieces=True)]
        await asyncio.gather(*(each.start() for each in cases))
        for known in await asyncio.gather(*(self.known_after(each) for each in cases)):
            self.assertLess(known, following.MAX_AGE_S)

    async def test_slow_answers_after_a_silence_are_thrown_away(self):
        # The request that the silence had swallowed and the next, slow one share the six seconds.
        registry = await SlowRegistry(2.4).start()
        self.assertLess(await self.known_after(registry, silence_s=4.0), following.MAX_AGE_S)

    async def test_answer_that_keeps_arriving_is_given_up_for_another_request(self):
        # A long list over a slow link: it was asked for anew each time, and never had.
        registry = await SlowRegistry(following.REQUEST_INTERVAL_S + 1.0, in_pieces=True).start()
        members, platform = Members(), PlatformClient(registry.address)
        updates = asyncio.Queue()
        task = asyncio.ensure_future(watch(platform, members, updates.put_nowait))
        update = await asyncio.wait_for(updates.get(), 2 * following.MAX_AGE_S)
        self.assertEqual([each.id for each in update.endpoints], ["a1"])
        self.assertEqual(len(registry.began), 1)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        await platform.close()
        registry.server.close()

    async def test_late_answer_to_an_earlier_request_takes_back_what_a_later_one_told(self):
        # Requests overlap now: what was asked first may be answered last.
        answers = asyncio.Queue()
        release = asyncio.Event()

        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            message, waits = await answers.get()
            if waits:
                await release.wait()
            writer.write(http(200, json.dumps(message).encode()))
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        answers.put_nowait((whole(3, row("a1", 1, 7)), True))
        answers.put_nowait((whole(2, row("a1", 1, 7, "draining")), False))
        members, platform, updates = Members(), PlatformClient(f"{host}:{port}"), asyncio.Queue()
        members.apply_list(whole(1, row("a1", 1, 7)))
        task = asyncio.ensure_future(watch(platform, members, updates.put_nowait))
        while (await asyncio.wait_for(updates.get(), following.MAX_AGE_S)).failed:
            pass
        release.set()
        await asyncio.sleep(0.3)
        self.assertEqual((members.index, members.rows["a1"]["status"]), (2, "draining"))
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        await platform.close()
        server.close()


if __name__ == "__main__":
    unittest.main()
