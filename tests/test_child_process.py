"""Signals to child processes: what the caller learns of a process that ends at the same moment."""

import asyncio
import unittest

from ryestack.lab.child_process import send_signal

CHILDREN = 20
EXIT_STATUS = 3
NO_SIGNAL = 0  # the kernel only checks that the process exists


class SendSignal(unittest.IsolatedAsyncioTestCase):
    async def test_a_signal_to_a_process_that_just_ended_does_not_replace_its_exit_status(self):
        for _ in range(CHILDREN):
            process = await asyncio.create_subprocess_exec("sh", "-c", f"exit {EXIT_STATUS}")
            while process.returncode is None:
                send_signal(process, NO_SIGNAL)
                await asyncio.sleep(0)
            self.assertEqual(await process.wait(), EXIT_STATUS)

    async def test_a_signal_to_a_process_that_has_ended_is_not_sent(self):
        process = await asyncio.create_subprocess_exec("true")
        await process.wait()
        send_signal(process, NO_SIGNAL)
        self.assertEqual(process.returncode, 0)


if __name__ == "__main__":
    unittest.main()
