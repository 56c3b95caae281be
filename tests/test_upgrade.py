"""An upgrade of the running program: no client is refused, nothing is lost, and a kill of either process."""

import asyncio
import os
import signal
import socket
import sys
import time
import unittest

from ryestack.lab.ports import free_port
from ryestack.lifecycle.upgrade.channel import ChannelListener, hand_over
from ryestack.wire.client_answers import ACCEPTED, UNAVAILABLE

from .helpers import http
from .test_staff import Staffed, handled


class Running(Staffed, unittest.IsolatedAsyncioTestCase):
    """Two processes of the program at the same address."""

    async def second(self):
        """Start a second process; returns the first one."""
        self.ops = f"127.0.0.1:{free_port()}"
        began = time.monotonic()
        first, self.process = self.process, await self.run_it(f"{self.folder}/config.json", LB_OPS=self.ops)
        while True:
            try:
                if (await self.staff("GET", "/-/ready"))[0] == 200:
                    break
            except OSError:
                await asyncio.sleep(0.02)
        self.assertLess(time.monotonic() - began, 6.0)
        return first

    async def steadily(self, seen):
        """Hand in notifications until self.stop, and collect the statuses."""
        n = 0
        while not self.stop:
            n += 1
            name = f"s{n}"
            seen.append(await self.ask("POST", "/api", **{"X-Request-Id": name}))
            self.says.add(await self.ask("GET", "/_health"))
            await asyncio.sleep(0.01)

    async def test_no_client_is_refused_over_two_upgrades_in_a_row(self):
        seen, self.says = [], set()
        self.stop = False
        task = asyncio.ensure_future(self.steadily(seen))
        for _ in range(2):
            first = await self.second()
            first.send_signal(signal.SIGTERM)
            self.assertEqual(await asyncio.wait_for(first.wait(), 3.7), 0)
            self.assertEqual(await self.ask("GET", "/_health"), 200)
        await asyncio.sleep(0.3)
        self.stop = True
        await task
        self.assertGreater(len(seen), 30)
        self.assertEqual((set(seen), self.says), ({ACCEPTED}, {200}))
        while (await self.metrics())["lb_in_progress", ()]:
            await asyncio.sleep(0.02)
        self.assertEqual(self.calls, len(seen))  # each is delivered once
        self.assertEqual([f for f in os.listdir(self.folder) if f.startswith("owed")], ["owed"])

    async def test_if_the_old_process_is_killed_the_new_one_adopts_its_notifications(self):
        self.answer = http(429, X_Retry_In_Ms="2500")
        self.assertEqual(await self.ask("POST", "/api", **{"X-Request-Id": "n"}), ACCEPTED)
        first = await self.second()
        first.kill()
        await first.wait()
        await asyncio.sleep(0.5)
        self.answer = b""
        await self.until(handled("again", "passed"), 1)
        gaps = [later - before for before, later in zip(self.times, self.times[1:], strict=False)]
        self.assertGreater(min(gaps), 2.4)  # the retry delay holds for both processes

    async def test_if_the_new_process_is_killed_the_old_one_continues_to_serve(self):
        first = await self.second()
        for n in range(4):
            self.assertEqual(await self.ask("POST", "/api", **{"X-Request-Id": f"n{n}"}), ACCEPTED)
        self.process.kill()
        await self.process.wait()
        await asyncio.sleep(0.3)
        self.assertEqual(await self.ask("POST", "/api", **{"X-Request-Id": "m"}), ACCEPTED)
        self.process = first
        again = await self.second()
        again.send_signal(signal.SIGTERM)
        self.assertEqual(await asyncio.wait_for(again.wait(), 3.7), 0)
        self.assertEqual(await self.ask("POST", "/api", **{"X-Request-Id": "o"}), ACCEPTED)

    async def test_a_connection_with_invalid_messages_is_closed_without_other_effect(self):
        for message in (b'["began"]\n', b'["ended",1,2]\n', b'["began","a",[["n",0]]]\n', b"\0\n"):
            with socket.socket(socket.AF_UNIX) as caller:
                caller.connect(f"{self.folder}/line")
                caller.sendall(message)
                await asyncio.sleep(0.05)
        self.assertEqual(await self.ask("POST", "/api"), ACCEPTED)
        self.process.send_signal(signal.SIGTERM)
        await asyncio.sleep(0.1)
        # It does not wait for such a successor.
        self.assertEqual(await self.ask("GET", "/_health"), UNAVAILABLE)

    async def test_a_predecessor_with_invalid_messages_does_not_prevent_a_start(self):
        self.process.kill()
        await self.process.wait()
        messages = (b'["learnt"]\n', b'["learnt",7,7]\n', b'["learnt",{"routes":7},[["a",[[1]]],4]]\n')
        for number, message in enumerate(messages):
            def connected(conn, message=message):
                channel = hand_over(conn, None)
                channel.conn.sendall(message)
                self.addCleanup(channel.conn.close)

            listener = ChannelListener(self.folder, connected)
            listener.open()
            self.process = await self.run_it(f"{self.folder}/config.json")
            submission = {"X-Request-Id": f"n{number}"}  # each has a new id
            self.assertEqual(await self.ask("POST", "/api", **submission), ACCEPTED)
            self.process.kill()
            await self.process.wait()
            listener.close()

    async def test_a_process_that_cannot_start_changes_nothing(self):
        path = f"{self.folder}/config.json"
        with open(path) as file:
            good = file.read()
        with open(path, "w") as file:
            file.write(good[:50])
        env = {**os.environ, "LB_CONFIG": path, "LB_STATE": self.folder}
        bad = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "ryestack", env=env, stderr=asyncio.subprocess.DEVNULL)
        self.assertEqual(await bad.wait(), 2)
        self.assertEqual(await self.ask("POST", "/api"), ACCEPTED)
        self.process.send_signal(signal.SIGTERM)  # an ordinary stop, which clients see at the health address
        await asyncio.sleep(0.1)
        self.assertEqual(await self.ask("GET", "/_health"), UNAVAILABLE)


if __name__ == "__main__":
    unittest.main()
