"""A final answer is sent only once it is in the journal: after a kill before that, the next process would not
know of it and continue."""

import asyncio
import errno
import os
import unittest
from unittest import mock

from ryestack import interface
from ryestack.interface import Result

from .helpers import http, push_to
from .test_owner import OwnerFixture


class Unwritten(OwnerFixture, unittest.IsolatedAsyncioTestCase):
    def failing(self, owner):
        """Every write to the journal fails."""
        full = OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        journal = owner.ledger.journal
        return mock.patch.multiple(
            journal, append=mock.Mock(side_effect=full), rewrite=mock.Mock(side_effect=full)
        )

    async def test_a_notice_that_cannot_be_written_is_sent_once_it_is_written(self):
        owner = self.owner()
        owner.round([self.hand_in("n")])
        with self.failing(owner):
            owner.new_hand_ins = {}
            owner.end(interface.Throttle("n", 1.0))
            await asyncio.sleep(0.15)
            self.assertEqual((self.sent_notices, owner.ledger.owed["n"].notice["state"]), ([], "returned"))
            self.assertFalse(owner.settled())
        await asyncio.sleep(0.25)
        self.assertEqual([name for name, _ in self.sent_notices], ["n"])
        again = self.restarted(1.0)
        self.assertEqual((self.sent, [name for name, _ in self.sent_notices]), ([], ["n"]))
        self.assertEqual(again.ledger.owed["n"].notice["state"], "returned")

    async def test_after_its_deadline_a_notice_is_sent_although_it_cannot_be_written(self):
        owner = self.owner()
        owner.round([self.hand_in("n", due=30.0)])
        with self.failing(owner):
            owner.new_hand_ins = {}
            owner.end(interface.Expire("n"))
            await asyncio.sleep(0.15)
            self.assertEqual(self.sent_notices, [])
            self.now = 30.0
            await asyncio.sleep(0.25)
            self.assertEqual([name for name, _ in self.sent_notices], ["n"])


class LocalFaults(unittest.IsolatedAsyncioTestCase):
    async def test_a_lack_of_local_resources_is_not_a_failure_of_the_endpoint(self):
        loop = type(asyncio.get_running_loop())
        for number, result in (
            (errno.EMFILE, Result.NOT_SENT), (errno.ENFILE, Result.NOT_SENT),
            (errno.ENOBUFS, Result.NOT_SENT),
            (errno.EADDRNOTAVAIL, Result.NOT_SENT), (errno.ECONNREFUSED, Result.NO_CONNECTION),
            (errno.EHOSTUNREACH, Result.NO_CONNECTION), (errno.ETIMEDOUT, Result.NO_CONNECTION),
        ):

            async def failing(sock, address, number=number):
                raise OSError(number, os.strerror(number))

            with mock.patch.object(loop, "sock_connect", lambda _, s, a, f=failing: f(s, a)):
                outcomes, _ = await push_to(lambda *_: http(200))
            self.assertEqual([owner.result for owner in outcomes], [result], errno.errorcode[number])


if __name__ == "__main__":
    unittest.main()
