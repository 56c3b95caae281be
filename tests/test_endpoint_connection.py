"""Races on connections to endpoints: between a check and the first byte, between a head and its body."""

import asyncio
import socket
import unittest
from contextlib import suppress
from unittest import mock

from ryestack import interface
from ryestack.interface import Result
from ryestack.wire.endpoint_connection import EndpointConnection

from .endpoint_sockets import EndpointSockets, message
from .helpers import http, keep_connections


class EndpointConnectionTest(EndpointSockets):
    async def test_bytes_received_before_the_first_byte_is_written_are_no_answer_and_nothing_is_sent(self):
        """Part of a line, a late answer or an end arrives after the connection was chosen for a call."""
        for unexpected in (b"HTTP/1.1 200", http(200), b"x", None):
            sock = await self.idle_connection()
            real = EndpointConnection.set_response_params

            def chosen(connection, real=real, sock=sock, data=unexpected, **params):
                real(connection, **params)
                sock.send(data) if data else sock.shutdown(socket.SHUT_WR)

            with mock.patch.object(EndpointConnection, "set_response_params", chosen):
                self.calls.start("a", [message("next", 1)])
                outcome = await self.next_event()
            self.assertEqual((outcome.result, self.calls.written), (Result.NOT_SENT, 1), unexpected)
            self.assertEqual(await self.receive_rest(sock), b"")
            self.calls.written = 0

    async def test_a_call_is_cancelled_that_has_its_connection_but_no_byte_written(self):
        sock = await self.idle_connection()
        real = EndpointConnection.set_response_params

        def chosen(connection, **params):
            real(connection, **params)
            self.calls.cancel_unsent("a")

        with mock.patch.object(EndpointConnection, "set_response_params", chosen):
            self.calls.start("a", [message("next", 1)])
            outcome = await self.next_event()
        self.assertEqual((outcome.result, self.calls.written), (Result.NOT_SENT, 1))
        self.assertEqual(await self.receive_rest(sock), b"")

    async def test_a_wait_is_published_with_the_head_though_the_rest_never_comes(self):
        """The outcome is known only when the time for the rest of the answer is over."""
        self.calls.start("a", [message()])
        sock = await self.accept()
        await self.receive_until(sock)
        sock.send(b"HTTP/1.1 429 x\r\nX-Retry-In-Ms: 700\r\nContent-Length: 9\r\n\r\nx")
        first = await asyncio.wait_for(self.events.get(), 3.0)
        self.assertEqual(first, interface.WaitRequested("a", 0.7))
        self.assertEqual(self.calls.in_flight(), 1)
        outcome = await self.next_event()
        self.assertEqual((outcome.result, outcome.wait), (Result.BROKEN, 0.7))

    async def test_a_wait_in_an_answer_to_an_abandoned_call_is_published(self):
        """After a cancel or a time-out: the answer was written before the half-close arrived."""
        for end, more in ((lambda: self.calls.cancel("n", 0), {}), (lambda: None, {"timeout": 0.2})):
            self.calls.start("a", [message(**more)])
            sock = await self.accept()
            await self.receive_until(sock)
            end()
            self.assertIn((await self.next_event()).result, (Result.CANCELLED, Result.TIMED_OUT))
            self.assertEqual(await asyncio.wait_for(self.loop.sock_recv(sock, 9), 1.0), b"")  # the half-close
            sock.send(b"HTTP/1.1 429 x\r\nX-Retry-In-Ms: 700\r\nContent-Length: 0\r\n\r\n")
            reported = await self.next_event(interface.WaitRequested)
            self.assertEqual(reported, interface.WaitRequested("a", 0.7))
            await self.all_closed()

    async def test_any_other_answer_to_an_abandoned_call_is_ignored_and_the_connection_closed(self):
        for late in (http(200), b"HTTP/1.1 200 x\r\n", b"x" * 100_000, b""):
            self.calls.start("a", [message(timeout=0.2)])
            [progress] = self.calls.progress.values()
            sock = await self.accept()
            await self.receive_until(sock)
            self.assertEqual((await self.next_event()).result, Result.TIMED_OUT)
            sock.send(late)
            await self.all_closed()
            self.assertEqual(progress.status, 0)
        self.assertTrue(self.events.empty())

    async def all_closed(self):
        async with asyncio.timeout(2.0):
            while self.calls.pool.connections:
                await asyncio.sleep(0.01)

    async def test_a_call_that_ends_while_its_client_is_answered_leaves_the_acknowledgement_to_the_next(self):
        acknowledged = self.loop.create_future()
        self.calls.start("a", [message(acknowledged=acknowledged)])
        await asyncio.sleep(0)
        self.calls.cancel_unsent("a")
        self.assertEqual((await self.next_event()).result, Result.NOT_SENT)
        self.calls.start("a", [message(push=1, acknowledged=acknowledged)])
        await asyncio.sleep(0)
        self.calls.cancel("n", 1)
        self.assertEqual((await self.next_event()).result, Result.NO_CONNECTION)
        self.assertFalse(acknowledged.done())
        acknowledged.set_result(True)
        self.calls.start("a", [message(push=2, acknowledged=acknowledged)])
        await self.receive_until(await self.accept())

    async def test_a_call_cancelled_before_its_first_step_is_reported_as_not_sent(self):
        self.calls.start("a", [message()])
        self.calls.cancel("n", 0)
        outcome = await self.next_event()
        self.assertEqual((outcome.result, self.calls.progress, self.calls.running), (Result.NOT_SENT, {}, {}))
        self.calls.start("a", [message(push=1)])
        self.calls.cancel_unsent("a")
        self.assertEqual((await self.next_event()).result, Result.NOT_SENT)
        self.calls.start("a", [message(push=2)])
        await self.calls.close()
        self.assertEqual((await self.next_event()).result, Result.NOT_SENT)

    async def test_a_call_ends_with_the_shortest_timeout_and_a_later_answer_is_ignored(self):
        """Guards against lost notifications: a batch answered 60 to 270 ms after the timeout of its first
        message counted as delivered for the others, though the endpoint did not count them."""
        self.calls.batch_sizes["shared"] = 3
        timeouts = (("m", 5.0), ("n", 0.2), ("o", 5.0))
        self.calls.start("a", [message(name, timeout=seconds) for name, seconds in timeouts])
        sock = await self.accept()
        head = await self.receive_until(sock, b"o k 1\r\nx\r\n")
        deadline_ms = int(head.partition(b"X-Deadline: ")[2].partition(b"m")[0])
        self.assertLessEqual(deadline_ms, 200)
        for name in "mno":
            outcome = await self.next_event()
            self.assertEqual((outcome.id, outcome.result), (name, Result.TIMED_OUT))
        with suppress(OSError):
            sock.send(http(200, b"m done\r\nn done\r\no done\r\n"))
        self.assertEqual(await self.receive_rest(sock), b"")
        self.assertTrue(self.events.empty())

    async def test_a_call_whose_last_byte_is_still_buffered_is_recalled_and_never_sent(self):
        body = b"b" * 32 * 1024 * 1024  # more than the buffers of both systems
        for end, options in (
            (lambda: self.calls.cancel_unsent("a"), {}),
            (lambda: None, {"begin_within": 0.3}),
        ):
            self.calls.start("a", [message(body=body, **options)])
            sock = await self.accept()
            await self.receive_until(sock, b"\r\n\r\nb")
            end()
            outcome = await self.next_event()
            self.assertEqual(outcome.result, Result.NOT_SENT)
            received = 0
            with suppress(ConnectionResetError):
                async with asyncio.timeout(3.0):
                    while data := await self.loop.sock_recv(sock, 1 << 20):
                        received += len(data)
            self.assertLess(received, len(body) - 1024)

    async def test_a_200_that_comes_before_the_last_byte_is_sent_delivers_nothing(self):
        self.calls.start("a", [message(body=b"b" * 32 * 1024 * 1024)])
        sock = await self.accept()
        await self.receive_until(sock, b"\r\n\r\nb")
        sock.send(http(200))
        self.assertEqual((await self.next_event()).result, Result.BROKEN)

    async def test_a_finished_call_does_not_recall_the_next_on_its_connection(self):
        keep_connections(self.calls, "a")
        self.calls.start("a", [message("first")])
        first = next(iter(self.calls.progress.values()))
        sock = await self.accept()
        await self.receive_until(sock)
        sock.send(http(200))
        self.assertEqual((await self.next_event()).result, Result.DELIVERED)
        self.calls.start("a", [message("next", 1, body=b"b" * 32 * 1024 * 1024)])
        await self.receive_until(sock, b"\r\n\r\nb")
        self.assertTrue(self.calls.end_unless_sent(first))  # as in the loop iteration in which it ends
        self.assertFalse(next(iter(self.calls.progress.values())).recalled)
        received = 0
        while received < 32 * 1024 * 1024 - 65536:
            received += len(await asyncio.wait_for(self.loop.sock_recv(sock, 1 << 20), 3.0))


if __name__ == "__main__":
    unittest.main()
