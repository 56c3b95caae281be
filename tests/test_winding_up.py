"""The end of a process: a push decided then must not look to the next process as if it may have run."""

import asyncio
import unittest

from ryestack import interface
from ryestack.interface import Result
from ryestack.lifecycle.config import load
from ryestack.lifecycle.relay import Relay
from ryestack.ports import Submission
from ryestack.store.journal import Journal
from ryestack.store.ledger import Ledger

from .helpers import Folder, config, take


class Dispatcher:
    """Holds each push until it is closed, and then reports outcomes as for aborted calls."""

    def __init__(self, tell):
        self.tell, self.started, self.closed = tell, [], False

    def start(self, endpoint, items):
        if self.closed:
            raise AssertionError("a push was started on a closed dispatcher")
        self.started += [(endpoint, item) for item in items]

    async def close(self):
        await asyncio.sleep(0.02)  # the owner's task runs rounds meanwhile
        self.closed = True
        outcomes = [
            interface.Outcome(item.id, item.push, endpoint, Result.NO_CONNECTION)
            for endpoint, item in self.started
        ]
        self.started = []
        self.tell(outcomes)

    def drop_removed_endpoints(self):
        pass

    cancel_unsent = close_idle = lambda self, endpoint: None


class WindingUp(Folder, unittest.IsolatedAsyncioTestCase):
    async def test_no_push_starts_once_the_dispatcher_closes_and_an_unsent_one_stays_unsent(self):
        for own_task in (False, True):
            self.setUp()
            path = config(self.folder, "127.0.0.1:1")
            relay = Relay(load({"LB_CONFIG": path, "LB_STATE": self.folder}))
            owner, loop = relay.owner, asyncio.get_running_loop()
            owner.dispatcher = relay.parts.dispatcher = Dispatcher(owner.put)
            relay.ledger.recover()
            owner.recover([relay.parts.directory.initial_list()])
            for name in ("n", "m"):
                owner.brain.slots = 1 if name == "n" else 0  # the second waits for the slot of the first
                answers = loop.create_future(), loop.create_future()
                owner.round([Submission(take(name, due=loop.time() + 9.0), "k", b"x", *answers)])
            self.assertEqual([item.id for _, item in owner.dispatcher.started], ["n"])
            task = asyncio.ensure_future(owner.run()) if own_task else None
            await relay.wind_up()
            if task:
                task.cancel()
            await relay.close()
            kept = Ledger(Journal(self.folder, 3_000_000))
            kept.recover()
            kept.journal.close()
            found = {o.id: (o.pushes, o.open_pushes) for o in kept.owed.values()}
            self.assertEqual(found, {"n": (1, {}), "m": (0, {})})


if __name__ == "__main__":
    unittest.main()
