"""Signals in series: a relay that starts or ends must not be killed by one of them."""

import asyncio
import os
import signal
import sys
import tomllib
import unittest
from pathlib import Path

from ryestack.lab.child_process import send_signal

from .helpers import http, stand_in
from .test_lifecycle import Program

SIGNAL_INTERVAL_S = 0.002
SHELL_START_S = 0.05  # until the shell has read its line
DEPLOY = Path(__file__).resolve().parent.parent / "deploy/balancer.toml"


class SignalsInSeries(Program, unittest.IsolatedAsyncioTestCase):
    async def send(self, process, *numbers) -> None:
        """Sends the signals in turn until the process has ended."""
        turn = 0
        while process.returncode is None:
            send_signal(process, numbers[turn % len(numbers)])
            turn += 1
            await asyncio.sleep(SIGNAL_INTERVAL_S)

    async def test_signals_behind_a_stop_do_not_kill_the_relay_that_ends(self):
        server, address = await stand_in(lambda *_: http(200))
        agent_server, agent = await stand_in(lambda *_: b"")
        for _ in range(5):
            process = await self.start(address, agent)
            send_signal(process, signal.SIGTERM)
            await asyncio.wait_for(self.send(process, signal.SIGHUP, signal.SIGTERM), 5.0)
            self.assertEqual(await process.wait(), 0)
        for each in (server, agent_server):
            each.close()

    async def test_reload_signals_at_a_start_do_not_kill_the_relay(self):
        """Started by the line of the deploy file, in which only the interpreter differs."""
        server, address = await stand_in(lambda *_: http(200))
        agent_server, agent = await stand_in(lambda *_: b"")
        path = await self.configured(address, agent)
        run = tomllib.loads(DEPLOY.read_text())["run"].replace(".venv/bin/python", sys.executable)
        environment = {**os.environ, "LB_CONFIG": path, "LB_STATE": self.folder}
        quiet = {"stderr": asyncio.subprocess.DEVNULL}
        process = await asyncio.create_subprocess_shell(run, env=environment, **quiet)
        await asyncio.sleep(SHELL_START_S)
        sending = asyncio.create_task(self.send(process, signal.SIGHUP))
        async with asyncio.timeout(20.0):
            while process.returncode is None and await self.ask("GET", "/_health") != 200:
                await asyncio.sleep(0.05)
        sending.cancel()
        self.assertIsNone(process.returncode)
        send_signal(process, signal.SIGKILL)
        await process.wait()
        for each in (server, agent_server):
            each.close()


if __name__ == "__main__":
    unittest.main()
