"""System calls that fail temporarily: accept, socket, connect; and what an abandoned call leaves unsent."""

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
from ryestack.wire.calls import CallDispatcher
from ryestack.wire.server import ACCEPTED

from .helpers import http, members, push_message, settings, stand_in
from .test_client_connection import WHOLE, Served
from .test_lifecycle import Program

BODY = b"x" * 64 * 1024
RECEIVE_BUFFER_BYTES = 4096  # of the endpoint


class Accepting(Served, unittest.IsolatedAsyncioTestCase):
    def failing(self, number: int, times: int):
        """Patch accept to fail that many times, with that errno."""
        failures_left, real = [times], socket.socket.accept

        def accept(sock):
            if failures_left[0]:
                failures_left[0] -= 1
                raise OSError(number, os.strerror(number))
            return real(sock)

        return mock.patch.object(socket.socket, "accept", accept)

    async def test_a_temporary_failure_delays_clients_only_briefly(self):
        for number in (errno.ENFILE, errno.EMFILE, errno.ENOBUFS, errno.ECONNABORTED, errno.EHOSTUNREACH):
            with self.subTest(errno.errorcode[number]), self.failing(number, 2):
                began = self.loop.time()
                sock = socket.create_connection(self.address, timeout=2.0)
                sock.setblocking(False)
                self.sockets.append(sock)
                sock.send(WHOLE)
                async with asyncio.timeout(3.0):
                    self.assertEqual((await self.loop.sock_recv(sock, 4096))[9:12], b"202")
                self.assertLess(self.loop.time() - began, 0.25)
                sock.close()

    async def test_accept_is_not_retried_once_the_listener_is_closed(self):
        errors = []
        self.loop.set_exception_handler(lambda _, context: errors.append(context))
        with self.failing(errno.ENFILE, 1000):
            self.sockets.append(socket.create_connection(self.address, timeout=2.0))
            await asyncio.sleep(0.02)
            self.clients.stop_listening()
            await asyncio.sleep(1.2)
        self.assertEqual(errors, [])

    async def test_a_connection_in_the_queue_is_served_when_the_listener_closes(self):
        sock = socket.create_connection(self.address, timeout=2.0)  # in the queue: the loop has not run since
        sock.setblocking(False)
        self.sockets.append(sock)
        sock.send(WHOLE)
        self.clients.stop_listening()
        async with asyncio.timeout(3.0):
            self.assertEqual((await self.loop.sock_recv(sock, 4096))[9:12], b"202")


class LoopErrors(unittest.IsolatedAsyncioTestCase):
    async def test_a_connection_error_inside_the_library_is_not_logged_as_an_error(self):
        loop, lines = asyncio.get_running_loop(), []
        loop.set_exception_handler(loop_errors.handle_loop_error)
        log.setup("r", level="DEBUG", sink=lines.append)
        self.addCleanup(log.setup)

        def connection_error():
            raise OSError(errno.ENOTCONN, os.strerror(errno.ENOTCONN))

        def program_error():
            raise ValueError("a program error")

        loop.call_soon(connection_error)
        loop.call_soon(program_error)
        await asyncio.sleep(0.01)
        texts = [str(line) for line in lines]
        self.assertEqual([" loop.broken " in text for text in texts], [True, False])
        self.assertNotIn("Traceback", texts[0])
        self.assertIn(" loop.error ", texts[1])
        self.assertIn("ValueError: a program error", texts[1])


class Starting(Program, unittest.IsolatedAsyncioTestCase):
    async def test_a_start_retries_while_no_socket_can_be_created(self):
        control = FaultControl(Path(self.folder) / "faults")
        self.addCleanup(control.close)
        faults = control.environment(build(Path(self.folder)), Path(self.folder))
        control.set(Fault.SOCKET_FAILS, 1.0, errno.ENFILE)
        asyncio.get_running_loop().call_later(1.0, control.clear)
        server, address = await stand_in(lambda *_: http(200))
        agent_server, agent = await stand_in(lambda *_: b"")
        path = await self.configured(address, agent)
        process = await self.run_it(path, **faults)
        self.assertEqual(await self.ask("POST", "/api"), ACCEPTED)
        process.kill()
        await process.wait()
        for each in (server, agent_server):
            each.close()


class AbandonedCall(unittest.IsolatedAsyncioTestCase):
    async def test_what_the_endpoint_has_not_received_is_never_sent(self):
        """The endpoint does not read and its window is full: this kernel holds the rest of the request."""
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        listener.setblocking(False)
        loop, events = asyncio.get_running_loop(), asyncio.Queue()
        host, port = listener.getsockname()
        endpoints = members(address=f"{host}:{port}")
        calls = CallDispatcher(settings(), endpoints, loop.time, events.put_nowait, 50)
        calls.start("a", [push_message("n", 0, 0.4, "k", BODY, None)])
        endpoint, _ = await loop.sock_accept(listener)
        [outcome] = await asyncio.wait_for(events.get(), 3.0)
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
