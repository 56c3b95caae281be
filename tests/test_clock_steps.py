"""The wall clock is stepped between a kill and a restart: deadlines must still count real time."""

import asyncio
import json
import time
import unittest
from pathlib import Path

from ryestack.lab.soak.fault_control import FaultControl, build
from ryestack.wire.server import ACCEPTED

from .helpers import http, stand_in
from .test_lifecycle import Program

STEPS = (3600.0, 5.0, -5.0, -3600.0)  # seconds
TTL = "3000m"  # of the notifications, as the X-Deadline header has it
GRACE_S = 1.5  # after a restart: no final answer is overdue within it
LATEST_S = 3.35 + GRACE_S  # from the hand-in to the final answer
EARLIEST_S = 2.0  # from the hand-in to a notice: the notification may still be delivered before


class Restart(Program, unittest.IsolatedAsyncioTestCase):
    async def run_it(self, path, **more):
        """Run the program with the faults library, which sets its clock as self.control says."""
        return await super().run_it(path, **more, **self.control.environment(self.library, Path(self.folder)))

    async def played(self, step: float, back: bool) -> tuple[list, list, float]:
        """Hand in three notifications, kill the relay with SIGKILL, step the clock, and start it again.

        back: whether the endpoint answers from then on. Returns the answered calls, the notices, and the
        seconds from the hand-in to the last of both.
        """
        answered, notices, up, last = [], [], False, [0.0]

        def endpoint(head, _):
            if not up:
                return None
            answered.append(head)
            last[0] = time.monotonic()
            return http(200)

        def platform(head, body):
            if not head.startswith(b"POST /status"):
                return b""
            notices.extend(json.loads(line) for line in body.splitlines())
            last[0] = time.monotonic()
            return http(204)

        server, address = await stand_in(endpoint)
        other, agent = await stand_in(platform)
        process = await self.start(address, agent)
        began = time.monotonic()
        for name in ("a", "b", "c"):
            head = {"X-Request-Id": name, "X-Deadline": TTL}
            self.assertEqual(await self.ask("POST", "/api", **head), ACCEPTED)
        process.kill()
        await process.wait()
        self.control.step_wall_clock(step)
        up = back
        process = await self.run_it(f"{self.folder}/config.json")
        ready = time.monotonic()
        until = max(began + 3.35, ready + GRACE_S + 0.35)
        while time.monotonic() < until and len(answered) + len(notices) < 3:
            await asyncio.sleep(0.02)
        process.kill()
        await process.wait()
        for each in (server, other):
            each.close()
        return answered, notices, last[0] - began

    def setUp(self):
        super().setUp()
        self.library = build(Path(self.folder))
        self.control = FaultControl(Path(self.folder) / "faults")
        self.addCleanup(self.control.close)

    async def test_a_restart_with_a_stepped_clock_neither_expires_early_nor_loses_anything(self):
        wrong = {}
        for step in STEPS:
            for back in (True, False):
                for left in Path(self.folder).glob("owed*"):
                    left.unlink()
                self.control.step_wall_clock(0.0)
                answered, notices, seconds = await self.played(step, back)
                ends = (3, 0) if back else (0, 3)
                in_time = seconds < LATEST_S and (back or seconds > EARLIEST_S)
                if (len(answered), len(notices)) != ends or not in_time:
                    wrong[step, back] = len(answered), len(notices), round(seconds, 2)
        self.assertEqual(wrong, {})


if __name__ == "__main__":
    unittest.main()
