"""Calls to endpoints: connections, answers, outcomes."""

import asyncio
import socket
import unittest

from ryestack.interface import Result
from ryestack.ports import Item
from ryestack.wire.calls import Calls

from .helpers import http, listed, members, push_to, settings, stand_in


class ToEndpoints(unittest.IsolatedAsyncioTestCase):
    async def test_each_answer_to_its_outcome(self):
        for status, more, result, ended, wait in (
            (200, {}, Result.DELIVERED, False, 0.0),
            (500, {}, Result.ERROR, False, 0.0),
            (429, {"X_Retry_In_Ms": "250"}, Result.FULL, False, 0.25),
            (503, {}, Result.FULL, False, 0.0),
            (503, {"X_No_Slot": "1"}, Result.NOT_SENT, False, 0.0),
            (504, {}, Result.NOT_SENT, False, 0.0),
            (410, {}, Result.NOT_SENT, True, 0.0),
            (302, {"Location": "/"}, Result.ERROR, False, 0.0),
        ):
            [o], _ = await push_to(lambda *_, s=status, m=more: http(s, **m))
            self.assertEqual((o.result, o.ended, o.wait), (result, ended, wait), status)

    async def test_what_is_passed_on(self):
        [o], [(head, body)] = await push_to(lambda *_: http(200, X_Load='{"x0":0.4,"x1":25}'))
        self.assertEqual((body, o.limit, o.left), (b"body\r\n", 25.0, 0.4))
        for odd in ('{"x0":-1,"x1":25}', '{"x0":"a","x1":25}', '{"x0":0.1}', '{"x0":null,"x1":9}', "[]", "x"):
            [o], _ = await push_to(lambda *_, odd=odd: http(200, X_Load=odd))
            self.assertEqual(o.left, 1.0, odd)
        self.assertTrue(head.startswith(b"POST /receive HTTP/1.1\r\n"))
        self.assertIn(b"X-Request-Id: n\r\n", head)
        self.assertIn(b"Idempotency-Key: kn\r\n", head)

    async def test_a_connection_that_comes_up_too_late_carries_nothing(self):
        """A handshake of a second, as after an outage: a repeat would begin past its window."""
        loop, told = asyncio.get_running_loop(), asyncio.Queue()
        late = socket.create_server(("127.0.0.1", 0), backlog=0)  # full at once: what comes next waits
        filling = [socket.socket() for _ in range(4)]
        for sock in filling:
            sock.setblocking(False)
            sock.connect_ex(late.getsockname())
        at = members(address=f"127.0.0.1:{late.getsockname()[1]}")
        calls = Calls(settings(), at, loop.time, told.put_nowait, 50)
        calls.start("a", [Item("n", 1, 9.0, "k", b"x", None, begin=0.1)])
        [o] = await asyncio.wait_for(told.get(), 1.0)
        self.assertEqual((o.result, calls.written), (Result.NOT_SENT, 0))
        server, address = await stand_in(lambda *_: http(200))
        at.rows["a"]["address"] = address
        calls.not_begun = lambda *_: None  # the loop was late: the connection is first
        calls.start("a", [Item("n", 2, 9.0, "k", b"x", None, begin=-0.1)])
        [o] = await asyncio.wait_for(told.get(), 1.0)
        self.assertEqual((o.result, calls.written), (Result.NOT_SENT, 0))
        calls.start("a", [Item("n", 3, 9.0, "k", b"x", None, begin=5.0)])
        [o] = await asyncio.wait_for(told.get(), 1.0)
        self.assertEqual((o.result, calls.written), (Result.DELIVERED, 1))
        await calls.close()
        for each in (late, server, *filling):
            each.close()

    async def test_a_call_that_has_not_begun_is_called_off_and_one_that_has_goes_on(self):
        """A wait is told while another call there still connects: it must not begin within it."""
        loop, told = asyncio.get_running_loop(), asyncio.Queue()
        late = socket.create_server(("127.0.0.1", 0), backlog=0)
        filling = [socket.socket() for _ in range(4)]
        for sock in filling:
            sock.setblocking(False)
            sock.connect_ex(late.getsockname())
        at = members(address=f"127.0.0.1:{late.getsockname()[1]}")
        calls = Calls(settings(), at, loop.time, told.put_nowait, 50)
        calls.start("a", [Item("n", 0, 9.0, "k", b"x", None)])
        await asyncio.sleep(0.05)
        calls.cancel_unsent("b")
        await asyncio.sleep(0.05)
        self.assertTrue(told.empty())
        calls.cancel_unsent("a")
        [o] = await asyncio.wait_for(told.get(), 1.0)
        self.assertEqual((o.result, calls.written), (Result.NOT_SENT, 0))
        calls.batch["shared"] = 2  # one whose time is up while its call connects has its end: it must not go
        calls.start("a", [Item("k", 0, 0.1, "k", b"x", None), Item("l", 0, 9.0, "k", b"x", None)])
        ends = await asyncio.wait_for(told.get(), 1.0)
        found = [(o.id, o.result, calls.written) for o in ends]
        self.assertEqual(found, [(name, Result.NO_CONNECTION, 0) for name in "kl"])
        server, address = await stand_in(lambda *_: b"")  # it takes the call and says nothing
        at.rows["a"]["address"] = address
        calls.start("a", [Item("m", 0, 0.3, "k", b"x", None)])
        await asyncio.sleep(0.1)
        calls.cancel_unsent("a")
        [o] = await asyncio.wait_for(told.get(), 1.0)
        self.assertEqual((o.result, calls.written, calls.begun), (Result.TIMED_OUT, 1, {}))
        await calls.close()
        for each in (late, server, *filling):
            each.close()

    async def test_a_call_that_is_over_before_its_last_beginning_is_left_alone(self):
        loop, told, faults = asyncio.get_running_loop(), asyncio.Queue(), []
        loop.set_exception_handler(lambda _, context: faults.append(context))
        calls = Calls(settings(), members(address="127.0.0.1:9"), loop.time, told.put_nowait, 50)
        calls.start("a", [Item("n", 1, 9.0, "k", b"x", None, begin=0.05)])
        [o] = await asyncio.wait_for(told.get(), 1.0)
        await asyncio.sleep(0.1)
        self.assertEqual((o.result, faults), (Result.NO_CONNECTION, []))
        await calls.close()

    async def test_a_refused_connection_never_ran_and_a_broken_one_may_have(self):
        [o], _ = await push_to(lambda *_: None)
        self.assertEqual(o.result, Result.BROKEN)
        [o], seen = await push_to(lambda *_: None, address="127.0.0.1:9")
        self.assertEqual((o.result, seen), (Result.NO_CONNECTION, []))

    async def test_a_kept_connection_that_breaks_may_have_run_and_is_not_tried_again(self):
        said, told, heads = [http(200), None, http(200)], asyncio.Queue(), []
        server, address = await stand_in(lambda head, _: heads.append(head) or said.pop(0))
        clock = asyncio.get_running_loop().time
        calls = Calls(settings(connection_idle=5.0), members(address=address), clock, told.put_nowait, 50)
        results = []
        for name in "nm":
            calls.start("a", [Item(name, 0, 1.0, "", b"", None)])
            results += [(o.result, o.stale) for o in await told.get()]
        await calls.close()
        server.close()
        self.assertEqual((results, len(heads)), ([(Result.DELIVERED, False), (Result.BROKEN, True)], 2))

    async def test_silence_times_out_and_is_not_sent_again(self):
        [o], seen = await push_to(lambda *_: b"", timeout=0.1)
        self.assertEqual((o.result, len(seen)), (Result.TIMED_OUT, 1))

    async def test_a_first_line_with_200_counts_though_the_rest_never_comes(self):
        [o], _ = await push_to(lambda *_: b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n", timeout=0.2)
        self.assertEqual(o.result, Result.DELIVERED)

    async def test_spoilt_answers(self):
        ok, no = b"HTTP/1.1 200 OK\r\n", b"HTTP/1.1 503 x\r\n"
        for raw, result in (
            (ok + b"\x00\xff noise\r\n\r\n", Result.DELIVERED),
            (ok + b"X-A: b\r\n" * 9, Result.DELIVERED),  # a head without an end
            (ok + b"Content-Length: 3000000000\r\n\r\n" + b"x" * 90_000, Result.DELIVERED),
            (ok + b"Content-Length: -4\r\n\r\n", Result.DELIVERED),
            (b"HTTP/1.1 103 x\r\nA: b\r\n\r\n" + http(503), Result.FULL),
            (b"HTTP/1.1 100 x\r\n\r\n" * 2 + http(200), Result.DELIVERED),
            (http(503) + http(200), Result.FULL),
            (http(429, b"x") + b"\x00noise", Result.FULL),
            (http(503, X_Load="[" * 9000), Result.FULL),
            (http(503, X_Load='{"x1":1%s}' % ("0" * 400)), Result.FULL),
            (no + b"\x00\r\n\r\n", Result.BROKEN),
            (no + b"Content-Length: 9\r\n\r\nx", Result.BROKEN),
            (no + b"X-A: b\r\n" * 9, Result.BROKEN),
            (b"\x16\x03\x01", Result.BROKEN),
            (b"HTTP/1.1 2000 OK\r\n\r\n", Result.BROKEN),
            (b"HTTP/1.1 100 x\r\n\r\n" * 5000, Result.BROKEN),
        ):
            [o], _ = await push_to(lambda *_, raw=raw: raw, timeout=3.0)
            self.assertEqual((o.result, o.elapsed < 1.0), (result, True), raw[:60])

    async def test_a_good_answer_keeps_its_connection(self):
        ports = []
        for said in (http(200, b"body"), http(503), b"HTTP/1.1 200 x\r\nTransfer-Encoding: chunked\r\n\r\n"
                     b"1\r\nx\r\n0\r\n\r\n"):
            told = asyncio.Queue()
            server, address = await stand_in(lambda *_, said=said: said)
            clock = asyncio.get_running_loop().time
            calls = Calls(settings(connection_idle=5.0), members(address=address), clock, told.put_nowait, 50)
            for name in "nm":
                calls.start("a", [Item(name, 0, 1.0, "", b"", None)])
                await told.get()
                ports.append([r.transport.get_extra_info("sockname")[1] for r in calls.kept])
            await calls.close()
            server.close()
            self.assertEqual((len(ports[-1]), ports[-1]), (1, ports[-2]), said)

    async def test_a_hung_up_connection_ends_and_others_stay(self):
        told = asyncio.Queue()
        server, address = await stand_in(lambda *_: http(200))
        clock = asyncio.get_running_loop().time
        calls = Calls(settings(connection_idle=5.0), members(address=address), clock, told.put_nowait, 50)
        calls.start("a", [Item("n", 0, 1.0, "", b"", None)])
        await told.get()
        calls.close_idle("b")
        self.assertEqual(len(calls.kept), 1)
        calls.close_idle("a")
        await asyncio.sleep(0.05)
        self.assertEqual(len(calls.kept), 0)
        await calls.close()
        server.close()

    async def test_a_wait_binds_though_the_rest_of_its_answer_is_spoilt(self):
        said = b"HTTP/1.1 429 x\r\nX-Retry-In-Ms: 250\r\nContent-Length: 9\r\n\r\nx"
        [o], _ = await push_to(lambda *_: said)
        self.assertEqual((o.result, o.wait), (Result.BROKEN, 0.25))

    async def test_bytes_on_an_idle_connection_answer_no_call(self):
        told = asyncio.Queue()
        said = [http(200), http(503)]
        server, address = await stand_in(lambda *_: said.pop())
        calls = Calls(settings(connection_idle=5.0), members(address=address),
                      asyncio.get_running_loop().time, told.put_nowait, 50)
        calls.start("a", [Item("n", 0, 1.0, "", b"", None)])
        [first] = await told.get()
        [reply] = calls.kept
        reply.data_received(http(503))
        calls.start("a", [Item("m", 0, 1.0, "", b"", None)])
        [second] = await told.get()
        self.assertNotIn(reply, calls.kept)
        await calls.close()
        server.close()
        self.assertEqual((first.result, second.result), (Result.FULL, Result.DELIVERED))

    async def test_a_new_endpoint_at_an_old_address_gets_a_connection_of_its_own(self):
        told = asyncio.Queue()
        server, address = await stand_in(lambda *_: http(200))
        at = members(address=address)
        calls = Calls(settings(connection_idle=5.0), at, asyncio.get_running_loop().time, told.put_nowait, 50)
        calls.start("a", [Item("n", 0, 1.0, "", b"", None)])
        await told.get()
        other = {**listed(address=address)["endpoints"][0], "name": "b"}
        at.learn({**listed(index=2), "endpoints": [other]})
        calls.start("b", [Item("m", 0, 1.0, "", b"", None)])
        await told.get()
        self.assertEqual([r.endpoint for r in calls.kept], ["a", "b"])
        calls.forget()  # the whole list was without a
        calls.start("a", [Item("o", 0, 1.0, "", b"", None)])
        [late] = await told.get()
        self.assertEqual(([r.endpoint for r in calls.kept], late.result), (["b"], Result.NOT_SENT))
        self.assertEqual((list(at.rows), at.has(7)), (["b"], True))
        await calls.close()
        server.close()

    async def test_several_travel_in_one_call_where_the_kind_takes_them(self):
        said = http(200, b"n done\r\nm busy\r\no void\r\n", X_Retry_In_Ms="100")
        outcomes, [(head, body)] = await push_to(lambda *_: said, "nmop", "bulk")
        self.assertTrue(head.startswith(b"POST /receive-many "))
        self.assertTrue(body.startswith(b"n kn 6\r\nbody\r\n\r\nm km 6\r\n"))
        self.assertEqual(
            [(o.result, o.ended, o.wait) for o in outcomes],
            [(Result.DELIVERED, False, 0.1), (Result.FULL, False, 0.1), (Result.NOT_SENT, True, 0.1),
             (Result.ERROR, False, 0.1)],  # a wait binds however the messages fared
        )

    async def test_a_kind_that_takes_one_gets_a_call_each(self):
        outcomes, seen = await push_to(lambda *_: http(200), "nm")
        self.assertEqual([o.result for o in outcomes], [Result.DELIVERED] * 2)
        self.assertEqual({head.split()[1] for head, _ in seen}, {b"/receive"})


if __name__ == "__main__":
    unittest.main()
