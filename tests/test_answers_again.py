"""An answer that comes a second time, late or cut, must not be taken for the answer to another call."""

import asyncio
import socket
import tempfile
import unittest
from pathlib import Path

from ryestack import interface
from ryestack.interface import Result
from ryestack.lab.soak.invariants import judge_soak
from ryestack.lab.soak.model import Kind, Trouble
from ryestack.lab.soak.scenario import Scenario, SoakPlan

from .endpoint_sockets import EndpointSockets, message
from .helpers import http

SECONDS = 8.0


class AnswersAgain(unittest.IsolatedAsyncioTestCase):
    TROUBLES = [Trouble(Kind.PARTNER_BUSY, 0.5, SECONDS, partner) for partner in (0, 1)] + [
        Trouble(Kind.ANSWERS_AGAIN, 0.5, SECONDS, partner) for partner in (0, 1)
    ]

    async def test_copy_of_an_earlier_answer_ends_no_other_call(self):
        """Real processes: a relay, two partners that turn away a quarter, proxies that repeat answers."""
        plan = SoakPlan(seed=52, relays=1, partners=2, rate=60.0, seconds=SECONDS)
        with tempfile.TemporaryDirectory() as folder:
            scenario = Scenario(plan, Path(folder), lambda _: None, self.TROUBLES)
            verdict = judge_soak(await scenario.play())
        self.assertEqual([f"{f.rule}: {f.subject}: {f.what}" for f in verdict.findings], [])
        self.assertGreater(verdict.counts["taken"], 200)


class AnswersAgainInOtherTroubles(unittest.IsolatedAsyncioTestCase):
    TROUBLES = [
        Trouble(Kind.ANSWERS_AGAIN, 0.5, 10.0, 0),
        Trouble(Kind.ANSWERS_AGAIN, 0.5, 10.0, 1),
        Trouble(Kind.PLATFORM_AGAIN, 0.5, 10.0, 0),
        Trouble(Kind.PARTNER_BUSY, 0.5, 4.0, 0),
        Trouble(Kind.KILL, 2.0, 0.7, 0),
        Trouble(Kind.PARTNER_RESETS, 3.0, 3.0, 1),
        Trouble(Kind.STOP, 3.5, 4.2, 1),
        Trouble(Kind.DRAIN, 4.0, 4.0, 0),
        Trouble(Kind.CROWD, 4.0, 4.0, 0),
        Trouble(Kind.PARTNER_LIMITS, 5.0, 2.0, 0),
        Trouble(Kind.LINK_RESETS, 7.0, 1.0, 1),
        Trouble(Kind.UPGRADE, 8.5, 4.5, 0),
    ]

    async def test_repeated_answers_beside_restarts_resets_limits_and_a_crowd_break_no_rule(self):
        plan = SoakPlan(seed=53, relays=2, partners=2, rate=25.0, seconds=12.0)
        with tempfile.TemporaryDirectory() as folder:
            scenario = Scenario(plan, Path(folder), lambda _: None, self.TROUBLES)
            verdict = judge_soak(await scenario.play())
        self.assertEqual([f"{f.rule}: {f.subject}: {f.what}" for f in verdict.findings], [])
        self.assertGreater(verdict.counts["taken"], 200)


class SecondCallOfAConnection(EndpointSockets):
    """A connection has carried a call; the relay's second call asks for the close."""

    async def second_call(self, *answers: bytes) -> interface.Outcome:
        """Its outcome if the endpoint sends these, one after the other, and ends the connection."""
        sock = await self.idle_connection()
        self.calls.start("a", [message("next", 1)])
        self.assertIn(b"Connection: close\r\n", await self.receive_until(sock))
        for answer in answers:
            sock.send(answer)
            await asyncio.sleep(0.02)
        sock.shutdown(socket.SHUT_WR)
        return await self.next_event()

    async def test_copy_of_the_first_answer_does_not_end_the_second_call(self):
        for status, result in ((503, Result.FULL), (200, Result.DELIVERED), (500, Result.ERROR)):
            outcome = await self.second_call(http(200), http(200), http(status, Connection="close"))
            self.assertEqual(outcome.result, result)
        self.assertEqual(self.calls.skipped_answers, 6)

    async def test_answer_without_the_mark_of_the_last_ends_as_broken_and_no_connection_is_reused(self):
        for status in (200, 503):
            outcome = await self.second_call(http(status))
            self.assertEqual((outcome.result, self.calls.reuse.max_calls("a")), (Result.BROKEN, 1))

    async def test_half_of_a_copy_does_not_lend_its_status_to_the_second_answer(self):
        copy = http(200)
        for length in range(1, len(copy)):
            outcome = await self.second_call(copy[:length], http(503, Connection="close"))
            self.assertEqual(outcome.result, Result.BROKEN, copy[:length])

    async def test_wait_in_an_answer_that_is_not_used_holds(self):
        sock = await self.idle_connection()
        self.calls.start("a", [message("next", 1)])
        await self.receive_until(sock)
        sock.send(http(429, X_Retry_In_Ms="700"))
        self.assertEqual(await self.next_event(interface.WaitRequested), interface.WaitRequested("a", 0.7))


if __name__ == "__main__":
    unittest.main()
