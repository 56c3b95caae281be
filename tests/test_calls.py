"""Calls to endpoints: connections, answers, outcomes."""

import asyncio
import socket
import unittest

from ryestack.interface import Result
from ryestack.wire.calls import CallDispatcher

from .helpers import http, keep_connections, members, push_message, push_to, settings, stand_in


class CallDispatcherTest(unittest.IsolatedAsyncioTestCase):
    async def test_each_answer_has_its_outcome(self):
        for status, headers, result, ended, wait in (
            (200, {}, Result.DELIVERED, False, 0.0),
            (500, {}, Result.ERROR, False, 0.0),
            (429, {"X_Retry_In_Ms": "250"}, Result.FULL, False, 0.25),
            (503, {}, Result.FULL, False, 0.0),
            (503, {"X_No_Slot": "1"}, Result.NOT_SENT, False, 0.0),
            (504, {}, Result.NOT_SENT, False, 0.0),
            (410, {}, Result.NOT_SENT, True, 0.0),
            (302, {"Location": "/"}, Result.ERROR, False, 0.0),
        ):
            [outcome], _ = await push_to(lambda *_, s=status, h=headers: http(s, **h))
            self.assertEqual((outcome.result, outcome.ended, outcome.wait), (result, ended, wait), status)

    async def test_the_request_and_the_load_report(self):
        [outcome], [(head, body)] = await push_to(lambda *_: http(200, X_Load='{"x0":0.4,"x1":25}'))
        self.assertEqual((body, outcome.limit, outcome.limit_left), (b"body\r\n", 25.0, 0.4))
        for bad in ('{"x0":-1,"x1":25}', '{"x0":"a","x1":25}', '{"x0":0.1}', '{"x0":null,"x1":9}', "[]", "x"):
            [outcome], _ = await push_to(lambda *_, bad=bad: http(200, X_Load=bad))
            self.assertEqual(outcome.limit_left, 1.0, bad)
        self.assertTrue(head.startswith(b"POST /receive HTTP/1.1\r\n"))
        self.assertIn(b"X-Request-Id: n\r\n", head)
        self.assertIn(b"Idempotency-Key: kn\r\n", head)

    async def test_a_connection_that_comes_up_too_late_carries_no_call(self):
        """A handshake may take a second after an outage: a retry would begin after its repeat window."""
        loop, events = asyncio.get_running_loop(), asyncio.Queue()
        stalled = socket.create_server(("127.0.0.1", 0), backlog=0)  # full at once: later connections wait
        filling = [socket.socket() for _ in range(4)]
        for sock in filling:
            sock.setblocking(False)
            sock.connect_ex(stalled.getsockname())
        endpoints = members(address=f"127.0.0.1:{stalled.getsockname()[1]}")
        calls = CallDispatcher(settings(), endpoints, loop.time, events.put_nowait, 50)
        calls.start("a", [push_message("n", 1, 9.0, "k", b"x", None, begin_within=0.1)])
        [outcome] = await asyncio.wait_for(events.get(), 1.0)
        self.assertEqual((outcome.result, calls.written), (Result.NOT_SENT, 0))
        server, address = await stand_in(lambda *_: http(200))
        endpoints.rows["a"]["address"] = address
        calls.end_unless_sent = lambda *_: None  # the connection comes up before the timer fires
        calls.start("a", [push_message("n", 2, 9.0, "k", b"x", None, begin_within=-0.1)])
        [outcome] = await asyncio.wait_for(events.get(), 1.0)
        self.assertEqual((outcome.result, calls.written), (Result.NOT_SENT, 0))
        calls.start("a", [push_message("n", 3, 9.0, "k", b"x", None, begin_within=5.0)])
        [outcome] = await asyncio.wait_for(events.get(), 1.0)
        self.assertEqual((outcome.result, calls.written), (Result.DELIVERED, 1))
        await calls.close()
        for each in (stalled, server, *filling):
            each.close()

    async def test_a_call_that_has_not_begun_is_cancelled_and_one_that_has_continues(self):
        """An endpoint asks for a wait while another call to it connects: that call must not begin then."""
        loop, events = asyncio.get_running_loop(), asyncio.Queue()
        stalled = socket.create_server(("127.0.0.1", 0), backlog=0)
        filling = [socket.socket() for _ in range(4)]
        for sock in filling:
            sock.setblocking(False)
            sock.connect_ex(stalled.getsockname())
        endpoints = members(address=f"127.0.0.1:{stalled.getsockname()[1]}")
        calls = CallDispatcher(settings(), endpoints, loop.time, events.put_nowait, 50)
        calls.start("a", [push_message("n", 0, 9.0, "k", b"x", None)])
        await asyncio.sleep(0.05)
        calls.cancel_unsent("b")
        await asyncio.sleep(0.05)
        self.assertTrue(events.empty())
        calls.cancel_unsent("a")
        [outcome] = await asyncio.wait_for(events.get(), 1.0)
        self.assertEqual((outcome.result, calls.written), (Result.NOT_SENT, 0))
        calls.batch_sizes["shared"] = 2  # a message whose timeout ends while its call connects is not sent
        calls.start("a", [push_message(n, 0, t, "k", b"x", None) for n, t in (("k", 0.1), ("l", 9.0))])
        outcomes = await asyncio.wait_for(events.get(), 1.0)
        results = [(outcome.id, outcome.result, calls.written) for outcome in outcomes]
        self.assertEqual(results, [(name, Result.NO_CONNECTION, 0) for name in "kl"])
        server, address = await stand_in(lambda *_: b"")  # it takes the call and does not answer
        endpoints.rows["a"]["address"] = address
        calls.start("a", [push_message("m", 0, 0.3, "k", b"x", None)])
        await asyncio.sleep(0.1)
        calls.cancel_unsent("a")
        [outcome] = await asyncio.wait_for(events.get(), 1.0)
        self.assertEqual((outcome.result, calls.written, calls.progress), (Result.TIMED_OUT, 1, {}))
        await calls.close()
        for each in (stalled, server, *filling):
            each.close()

    async def test_a_call_that_ends_before_its_start_deadline_is_left_alone(self):
        loop, events, faults = asyncio.get_running_loop(), asyncio.Queue(), []
        loop.set_exception_handler(lambda _, context: faults.append(context))
        calls = CallDispatcher(settings(), members(address="127.0.0.1:9"), loop.time, events.put_nowait, 50)
        calls.start("a", [push_message("n", 1, 9.0, "k", b"x", None, begin_within=0.05)])
        [outcome] = await asyncio.wait_for(events.get(), 1.0)
        await asyncio.sleep(0.1)
        self.assertEqual((outcome.result, faults), (Result.NO_CONNECTION, []))
        await calls.close()

    async def test_a_call_decided_before_the_endpoints_row_changed_is_not_sent(self):
        # The address was looked up as the call was dialled: it could be that of another destination by then.
        requests, events = [], asyncio.Queue()
        server, address = await stand_in(lambda head, _: requests.append(head) or http(200))
        loop = asyncio.get_running_loop()
        for changed in ({"group": 8}, {"address": "127.0.0.1:9"}, {"status": "removed"}):
            endpoints, acknowledged = members(address=address), loop.create_future()
            calls = CallDispatcher(settings(), endpoints, loop.time, events.put_nowait, 50)
            calls.start("a", [push_message("n", 1, 9.0, "k", b"x", acknowledged)])
            await asyncio.sleep(0.02)
            endpoints.apply_list({"index": 2, "snapshot": False, "endpoints": [{"name": "a", **changed}]})
            acknowledged.set_result(True)
            [outcome] = await asyncio.wait_for(events.get(), 1.0)
            self.assertEqual((outcome.result, requests), (Result.NOT_SENT, []))
            await calls.close()
        server.close()

    async def test_a_refused_call_never_ran_and_a_broken_one_may_have(self):
        [outcome], _ = await push_to(lambda *_: None)
        self.assertEqual(outcome.result, Result.BROKEN)
        [outcome], requests = await push_to(lambda *_: None, address="127.0.0.1:9")
        self.assertEqual((outcome.result, requests), (Result.NO_CONNECTION, []))

    async def test_a_reused_connection_that_breaks_may_have_run_the_call_and_it_is_not_retried(self):
        answers, events, heads = [http(200), None, http(200)], asyncio.Queue(), []
        server, address = await stand_in(lambda head, _: heads.append(head) or answers.pop(0))
        clock, endpoints = asyncio.get_running_loop().time, members(address=address)
        calls = CallDispatcher(settings(connection_idle=5.0), endpoints, clock, events.put_nowait, 50)
        keep_connections(calls, "a", "b")
        results = []
        for name in "nm":
            calls.start("a", [push_message(name, 0, 1.0, "", b"", None)])
            results += [(outcome.result, outcome.stale) for outcome in await events.get()]
        await calls.close()
        server.close()
        self.assertEqual((results, len(heads)), ([(Result.DELIVERED, False), (Result.BROKEN, True)], 2))

    async def test_a_call_without_an_answer_times_out_and_is_not_retried(self):
        [outcome], requests = await push_to(lambda *_: b"", timeout=0.1)
        self.assertEqual((outcome.result, len(requests)), (Result.TIMED_OUT, 1))

    async def test_a_first_line_with_200_counts_though_the_rest_never_comes(self):
        [outcome], _ = await push_to(lambda *_: b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n", timeout=0.2)
        self.assertEqual(outcome.result, Result.DELIVERED)

    async def test_malformed_answers(self):
        ok, busy = b"HTTP/1.1 200 OK\r\n", b"HTTP/1.1 503 x\r\n"
        for raw, result in (
            (ok + b"\x00\xff noise\r\n\r\n", Result.DELIVERED),
            (ok + b"X-A: b\r\n" * 9, Result.DELIVERED),  # a head without an end
            (ok + b"Content-Length: 3000000000\r\n\r\n" + b"x" * 90_000, Result.DELIVERED),
            (ok + b"Content-Length: -4\r\n\r\n", Result.DELIVERED),
            (ok + b"Content-Length: " + b"9" * 5000 + b"\r\n\r\n", Result.DELIVERED),
            (b"HTTP/1.1 103 x\r\nA: b\r\n\r\n" + http(503), Result.FULL),
            (b"HTTP/1.1 100 x\r\n\r\n" * 2 + http(200), Result.DELIVERED),
            (http(503) + http(200), Result.FULL),
            (http(429, b"x") + b"\x00noise", Result.FULL),
            (http(503, X_Load="[" * 9000), Result.FULL),
            (http(503, X_Load='{"x1":1%s}' % ("0" * 400)), Result.FULL),
            (busy + b"\x00\r\n\r\n", Result.BROKEN),
            (busy + b"Content-Length: 9\r\n\r\nx", Result.BROKEN),
            (busy + b"X-A: b\r\n" * 9, Result.BROKEN),
            (b"\x16\x03\x01", Result.BROKEN),
            (b"HTTP/1.1 2000 OK\r\n\r\n", Result.BROKEN),
            (b"HTTP/1.1 100 x\r\n\r\n" * 5000, Result.BROKEN),
        ):
            [outcome], _ = await push_to(lambda *_, raw=raw: raw, timeout=3.0)
            self.assertEqual((outcome.result, outcome.elapsed < 1.0), (result, True), raw[:60])

    async def test_a_wait_holds_though_the_rest_of_its_answer_is_malformed(self):
        answer = b"HTTP/1.1 429 x\r\nX-Retry-In-Ms: 250\r\nContent-Length: 9\r\n\r\nx"
        [outcome], _ = await push_to(lambda *_: answer)
        self.assertEqual((outcome.result, outcome.wait), (Result.BROKEN, 0.25))

    async def test_several_messages_go_in_one_call_where_the_kind_takes_them(self):
        answer = http(200, b"n done\r\nm busy\r\no void\r\n", X_Retry_In_Ms="100")
        outcomes, [(head, body)] = await push_to(lambda *_: answer, "nmop", "bulk")
        self.assertTrue(head.startswith(b"POST /receive-many "))
        self.assertTrue(body.startswith(b"n kn 6\r\nbody\r\n\r\nm km 6\r\n"))
        self.assertEqual(
            [(outcome.result, outcome.ended, outcome.wait) for outcome in outcomes],
            [(Result.DELIVERED, False, 0.1), (Result.FULL, False, 0.1), (Result.NOT_SENT, True, 0.1),
             (Result.ERROR, False, 0.1)],  # a wait holds whatever the results
        )

    async def test_a_kind_that_takes_one_message_gets_a_call_each(self):
        outcomes, requests = await push_to(lambda *_: http(200), "nm")
        self.assertEqual([outcome.result for outcome in outcomes], [Result.DELIVERED] * 2)
        self.assertEqual({head.split()[1] for head, _ in requests}, {b"/receive"})


if __name__ == "__main__":
    unittest.main()
