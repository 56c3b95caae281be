"""Clients, and the forms of the wire."""

import asyncio
import re
import unittest
import zlib

import aiohttp

from ryestack.lifecycle.terms import Terms
from ryestack.ports import Verdict
from ryestack.wire import forms
from ryestack.wire.members import Members
from ryestack.wire.server import ACCEPTED, MAX_INCOMPLETE_BODY_BYTES, UNAVAILABLE, ClientListener

from .helpers import listed, members, settings

HEAD = {
    "X-Request-Id": "n", "X-Class": "again", "X-Tenant": "", "X-Deadline": "500m", "X-Envelope": "dest=7",
}
LINES = ["POST /api HTTP/1.1", "Host: x", "Content-Length: %d", *(f"{k}: {v}" for k, v in HEAD.items())]
RAW = "\r\n".join([*LINES, "", ""]).encode()


class FromClients(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.got, self.gone, self.verdict = [], [], (Verdict.ACCEPTED, 0.0)
        clock = asyncio.get_running_loop().time
        terms = Terms(settings())
        self.clients = ClientListener(settings(), terms, members(), clock, self.take, self.gone.append, 50)
        await self.clients.listen("127.0.0.1", 0)
        self.clients.ready = True
        host, port = self.clients.listener.sockets[0].getsockname()
        self.at, self.base = (host, port), f"http://{host}:{port}"

    async def asyncTearDown(self):
        self.clients.stop_listening()
        await self.clients.server.shutdown(0.1)

    def take(self, message):
        self.got.append(message)
        if self.verdict:
            message.verdict.set_result(self.verdict)

    async def post(self, path="/api", method="POST", data=b"x", **head):
        head = {k: v for k, v in {**HEAD, **{k.replace("_", "-"): v for k, v in head.items()}}.items()}
        async with aiohttp.request(method, self.base + path, headers=head, data=data) as answer:
            await answer.read()
            return answer

    async def test_taken_on(self):
        self.assertEqual((await self.post(data=b"\x00\xff")).status, ACCEPTED)
        [message] = self.got
        found = message.notification.id, message.notification.destination, message.body
        self.assertEqual(found, ("n", 7, b"\x00\xff"))
        self.assertTrue(await message.acknowledged)

    async def test_a_body_stays_the_bytes_that_came(self):
        for body in (zlib.compress(b"x" * 99), b"\x00no such coding"):
            self.assertEqual((await self.post(data=body, Content_Encoding="deflate")).status, ACCEPTED)
            self.assertEqual(self.got.pop().body, body)

    async def test_throttled_at_once_with_a_time_to_come_back(self):
        self.verdict = (Verdict.THROTTLED, 0.25)
        answer = await self.post()
        self.assertEqual((answer.status, answer.headers["Retry-After"]), (503, "0.250"))
        self.assertEqual(self.gone, [])

    async def test_bad_input_takes_nothing_on(self):
        for status, change in (
            (400, {"X_Envelope": "dest=8"}), (400, {"X_Envelope": "dest=x"}), (400, {"X_Envelope": ""}),
            (400, {"X_Class": "none"}), (400, {"X_Deadline": "5s"}), (400, {"X_Deadline": "-5m"}),
            (400, {"X_Request_Id": "a b"}), (400, {"X_Request_Id": ""}), (400, {"X_Class": "merge"}),
            (404, {"path": "/other"}), (405, {"method": "GET"}), (413, {"data": b"x" * 65537}),
        ):
            self.assertEqual((await self.post(**change)).status, status, change)
        self.assertEqual(self.got, [])

    async def test_nonsense_and_half_a_body_leave_it_serving(self):
        for raw in (b"\x16\x03\x01\r\n\r\n", RAW % 9 + b"x"):
            _, writer = await asyncio.open_connection(*self.at)
            writer.write(raw)
            await writer.drain()
            writer.close()
        self.assertEqual((await self.post()).status, ACCEPTED)
        self.assertEqual(len(self.got), 1)

    async def raw(self, *parts, wait=0.0):
        """What comes back, to the end of the connection."""
        reader, writer = await asyncio.open_connection(*self.at)
        for part in parts:
            writer.write(part)
            await asyncio.sleep(wait)
        try:
            return await asyncio.wait_for(reader.read(), 3.0)
        except ConnectionResetError:
            return b""
        finally:
            writer.close()

    async def test_what_cannot_be_read_or_hides_a_request_is_refused_and_closed(self):
        head, length, end = RAW % 0, b"Content-Length: 0", b"0\r\n\r\n"
        for raw in (
            b"\x16\x03\x01\r\n\r\n",
            head.replace(length, b"Content-Length: -4"),
            head.replace(length, b"Content-Length: 4\r\nContent-Length: 9"),
            head.replace(length, b"Content-Length: 60000000") + b"x" * 100_000,
            head.replace(length, b"Content-Length: 9\r\nTransfer-Encoding: chunked") + end,
            head.replace(length, b"Transfer-Encoding: chunked\r\nContent-Length: 9") + end,
            head.replace(b"Host: x", b"X-Pad: " + b"p" * 200_000),
        ):
            said = await self.raw(raw)
            self.assertIn(said[9:12], (b"400", b"413", b""), raw[:200])
        self.assertEqual((await self.post("/api?v=1")).status, 404)
        self.assertEqual(self.got, [])

    async def test_noise_behind_an_open_request_ends_the_connection_behind_its_answer(self):
        """A request that was read is answered, whatever its client sends next; nothing behind it is read."""
        self.verdict, loop = None, asyncio.get_running_loop()
        verdict = (Verdict.ACCEPTED, 0.0)
        loop.call_later(0.15, lambda: self.got[0].verdict.set_result(verdict))
        said = await self.raw(RAW % 1 + b"x", b"\x00\xff\r\n\r\n", RAW % 1 + b"x", wait=0.05)
        statuses = re.findall(rb"HTTP/1\.\d (\d+)", said)
        self.assertEqual((statuses, len(self.got), self.gone), ([b"202", b"400"], 1, []))

    async def test_silence_an_endless_head_and_half_a_body_end_in_time(self):
        begun = asyncio.get_running_loop().time()
        said = await asyncio.gather(self.raw(b""), self.raw(RAW[:30]), self.raw(RAW % 9 + b"x"))
        self.assertLess(asyncio.get_running_loop().time() - begun, 3.0)
        self.assertEqual([part[9:12] for part in said], [b"", b"", b"408"])

    async def test_too_much_at_once_is_refused(self):
        self.clients.incomplete_body_bytes = MAX_INCOMPLETE_BODY_BYTES
        self.assertEqual((await self.post()).status, UNAVAILABLE)
        self.assertEqual(self.clients.incomplete_body_bytes, MAX_INCOMPLETE_BODY_BYTES)

    async def test_at_the_bound_the_oldest_idle_connection_makes_room(self):
        self.clients.max_connections = 3
        idle = [await asyncio.open_connection(*self.at) for _ in range(3)]
        await asyncio.sleep(0.05)
        self.assertEqual((await self.post()).status, ACCEPTED)
        self.assertEqual(await asyncio.wait_for(idle[0][0].read(), 1.0), b"")
        for _, writer in idle:
            writer.close()

    async def test_a_client_gone_before_its_answer_withdraws(self):
        self.verdict = None
        _, writer = await asyncio.open_connection(*self.at)
        writer.write(RAW % 1 + b"x")
        while not self.got:
            await asyncio.sleep(0.01)
        writer.transport.abort()
        await asyncio.sleep(0.05)
        self.got[0].verdict.set_result((Verdict.ACCEPTED, 0.0))
        self.assertFalse(await self.got[0].acknowledged)
        self.assertEqual(self.gone, ["n"])

    async def test_health_follows_readiness_and_idle_connections_end_with_the_listener(self):
        reader, writer = await asyncio.open_connection(*self.at)
        for ready, said in ((True, b"200"), (False, b"503")):
            self.clients.ready = ready
            writer.write(b"GET /_health HTTP/1.1\r\nHost: x\r\n\r\n")
            self.assertIn(said, (await reader.readuntil(b"\r\n\r\n")).split(b"\r\n")[0])
            await reader.readline()
        self.clients.stop_listening()
        self.assertEqual(await asyncio.wait_for(reader.read(), 1.0), b"")
        writer.close()


class Forms(unittest.TestCase):
    def test_durations_have_a_unit(self):
        self.assertAlmostEqual(forms.parse_duration("1500u"), 0.0015)
        for bad in ("", "5", "m", "1e3m", "٣m"):
            with self.assertRaises(forms.BadForm):
                forms.parse_duration(bad)

    def test_the_destination_among_other_fields(self):
        self.assertEqual(forms.parse_destination("v=1; dest=12"), 12)
        with self.assertRaises(forms.BadForm):
            forms.parse_destination("xdest=12")

    def test_a_report_that_cannot_be_read_is_none(self):
        reports = [forms.load_report(text) for text in (None, "{", "[1]", '{"x1":2}')]
        self.assertEqual(reports, [{}, {}, {}, {"x1": 2}])

    def test_an_empty_list_is_a_list(self):
        self.assertEqual(Members().apply_list({**listed(), "endpoints": []}).endpoints, ())


if __name__ == "__main__":
    unittest.main()
