"""A kill within an outage: the next life must not push over a partner that came back cold while it was away."""

import asyncio
import unittest

from ryestack import interface as it
from ryestack.interface import Result
from ryestack.lifecycle.config import load
from ryestack.lifecycle.relay import Relay

from .helpers import Folder, config, end, http, pushes, settings, stand_in, take
from .helpers import brain as made_brain

RATE = 50.0  # calls a second that the list tells


class Blind(Folder, unittest.IsolatedAsyncioTestCase):
    async def life(self, fails: bool):
        """A relay's state as a kill leaves it, so many failures into an outage; returns the next life's."""
        server, agent = await stand_in(lambda *_: http(503))
        path = config(self.folder, agent)
        relay = Relay(load({"LB_CONFIG": path, "LB_STATE": self.folder}))
        await relay.happen("begun")
        await relay.happen("recovered")
        owner = relay.owner
        owner.dispatcher.start = lambda endpoint, items: None
        if fails:
            message = [take(f"n{n}", due=relay.clock() + 20.0) for n in range(4)]
            for n, each in enumerate(message):
                owner.brain.held.pop(each.id, None)
                acts = owner.brain.round(relay.clock() + n * 0.01, [each])
                for name, route in pushes(acts):
                    owner.brain.round(relay.clock() + n * 0.01, [end(name, route, Result.NO_CONNECTION)])
        await asyncio.sleep(0.5)  # well within the time between two regular copies
        await relay.close()
        again = Relay(load({"LB_CONFIG": path, "LB_STATE": self.folder}))
        await again.happen("begun")
        found = again.owner.brain.routes["a"].pacer.rate(again.clock())
        await again.close()
        server.close()
        return found

    async def test_what_had_just_begun_to_fail_is_met_as_one_that_comes_back_cold(self):
        warm = await self.life(fails=False)
        self.assertGreaterEqual(warm, RATE)
        cold = await self.life(fails=True)
        rules = settings().rules
        self.assertLess(cold, RATE * rules.cold_share * rules.overload_factor)


class Silent(unittest.TestCase):
    def test_a_first_delivery_long_after_the_failures_that_none_followed_begins_a_warm_up(self):
        """Open circuits make no calls: nothing fails meanwhile, and nothing is delivered."""
        b = made_brain(routes=("a",), rate=RATE)
        now = 1.0
        for n in range(20):
            b.round(now, [take(f"w{n}")])
            b.round(now + 0.01, [end(f"w{n}", "a", Result.DELIVERED, ended=True)])
            now += 0.05
        route, n = b.routes["a"], 0
        while route.state != "open":
            n += 1
            self.assertLess(n, 50)
            for name, _ in pushes(b.round(now, [take(f"n{n}")])):
                b.round(now + 0.01, [end(name, "a", Result.NO_CONNECTION, b.held[name].pushes - 1)])
            now += 0.05
        self.assertIsNone(route.pacer.cold)
        back = now + 4.0
        sent = pushes(b.round(back, [it.Woken(), take("m", due=back + 15.0)]))
        for name, _ in sent:
            number = b.held[name].pushes - 1
            b.round(back + 0.05, [end(name, "a", Result.DELIVERED, number, ended=True)])
        self.assertTrue(sent)
        self.assertLess(route.pacer.rate(back + 0.1), RATE)


if __name__ == "__main__":
    unittest.main()
