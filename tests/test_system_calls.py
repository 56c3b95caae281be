"""Calls of the system that fail for a moment: accept, socket, connect; and what a given-up call leaves."""

import asyncio
import errno
import os
import socket
import unittest
from pathlib import Path
from unittest import mock

from ryestack.interface import Result
from ryestack.lab.soak.fault_control import Fault, FaultControl, build
from ryestack.lifecycle import loop_errors
from ryestack.observe import log
from ryestack.ports import Item
from ryestack.wire.calls import Calls
from ryestack.wire.server import TAKEN

from .helpers import http, members, settings, stand_in
from .test_client_connection import WHOLE, Served
from .test_lifecycle import Program

BODY = b"x" * 64 * 1024
SMALL = 4096  # bytes that the receiving side holds


class Accepting(Served, unittest.IsolatedAsyncioTestCase):
    def failing(self, number: int, times: int):
        """accept fails so often, with that errno."""
        left, real = [times], socket.socket.accept

        def accept(sock):
            if left[0]:
                left[0] -= 1
                raise OSError(number, os.strerror(number))
            return real(sock)

        return mock.patch.object(socket.socket, "accept", accept)

    async def test_a_failure_of_a_moment_keeps_no_client_waiting_for_long(self):
        for number in (errno.ENFILE, errno.EMFILE, errno.ENOBUFS, errno.ECONNABORTED, errno.EHOSTUNREACH):
            with self.subTest(errno.errorcode[number]), self.failing(number, 2):
                began = self.loop.time()
                sock = socket.create_connection(self.at, timeout=2.0)
                sock.setblocking(False)
                self.open.append(sock)
                sock.send(WHOLE)
                async with asyncio.timeout(3.0):
                    self.assertEqual((await self.loop.sock_recv(sock, 4096))[9:12], b"202")
                self.assertLess(self.loop.time() - began, 0.25)
                sock.close()

    async def test_it_is_not_tried_again_once_the_listener_is_closed(self):
        said = []
        self.loop.set_exception_handler(lambda _, context: said.append(context))
        with self.failing(errno.ENFILE, 1000):
            self.open.append(socket.create_connection(self.at, timeout=2.0))
            await asyncio.sleep(0.02)
            self.clients.stop_listening()
            await asyncio.sleep(1.2)
        self.assertEqual(said, [])

    async def test_what_has_come_as_the_listener_closes_is_served(self):
        sock = socket.create_connection(self.at, timeout=2.0)  # in the queue: the loop has not run since
        sock.setblocking(False)
        self.open.append(sock)
        sock.send(WHOLE)
        self.clients.stop_listening()
        async with asyncio.timeout(3.0):
            self.assertEqual((await self.loop.sock_recv(sock, 4096))[9:12], b"202")


class LoopErrors(unittest.IsolatedAsyncioTestCase):
    async def test_a_connection_that_breaks_in_the_librarys_hands_is_no_fault_of_ours(self):
        loop, lines = asyncio.get_running_loop(), []
        loop.set_exception_handler(loop_errors.handle_loop_error)
        log.setup("r", level="DEBUG", sink=lines.append)
        self.addCleanup(log.setup)

        def broken():
            raise OSError(errno.ENOTCONN, os.strerror(errno.ENOTCONN))

        def wrong():
            raise ValueError("a fault of ours")

        loop.call_soon(broken)
        loop.call_soon(wrong)
        await asyncio.sleep(0.01)
        said = [str(line) for line in lines]
        self.assertEqual([" loop.broken " in line for line in said], [True, False])
        self.assertNotIn("Traceback", said[0])
        self.assertIn(" loop.error ", said[1])
        self.assertIn("ValueError: a fault of ours", said[1])


class Starting(Program, unittest.IsolatedAsyncioTestCase):
    async def test_a_start_waits_for_a_socket_that_cannot_be_had_for_a_moment(self):
        control = FaultControl(Path(self.folder) / "faults")
        self.addCleanup(control.close)
        faults = control.environment(build(Path(self.folder)), Path(self.folder))
        control.set(Fault.SOCKET_FAILS, 1.0, errno.ENFILE)
        asyncio.get_running_loop().call_later(1.0, control.clear)
        server, address = await stand_in(lambda *_: http(200))
        other, agent = await stand_in(lambda *_: b"")
        path = await self.configured(address, agent)
        process = await self.run_it(path, **faults)
        self.assertEqual(await self.ask("POST", "/api"), TAKEN)
        process.kill()
        await process.wait()
        for each in (server, other):
            each.close()


class GivenUp(unittest.IsolatedAsyncioTestCase):
    async def test_what_the_endpoint_has_not_received_by_then_never_comes(self):
        """It stands still with a full window; the rest of the request is in our kernel's buffer."""
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL)
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        listener.setblocking(False)
        loop, told = asyncio.get_running_loop(), asyncio.Queue()
        host, port = listener.getsockname()
        calls = Calls(settings(), members(address=f"{host}:{port}"), loop.time, told.put_nowait, 50)
        calls.start("a", [Item("n", 0, 0.4, "k", BODY, None)])
        endpoint, _ = await loop.sock_accept(listener)
        [outcome] = await asyncio.wait_for(told.get(), 3.0)
        self.assertIs(outcome.result, Result.TIMED_OUT)
        await asyncio.sleep(0.3)
        received = 0
        try:
            async with asyncio.timeout(1.0):
                while data := await loop.sock_recv(endpoint, 65536):
                    received += len(data)
        except (TimeoutError, OSError):
            pass
        self.assertLess(received, len(BODY))
        await calls.close()
        for each in (endpoint, listener):
            each.close()


if __name__ == "__main__":
    unittest.main()
