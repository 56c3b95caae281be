"""A kill within an outage: the next life must not push over a partner that came back cold meanwhile."""

import asyncio
import json
import unittest

from ryestack.interface import Result
from ryestack.lifecycle import learned_state
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
        await relay.transition("begun")
        await relay.transition("recovered")
        owner = relay.owner
        owner.dispatcher.start = lambda endpoint, items: None
        saving = asyncio.ensure_future(relay.save_failing())
        if fails:
            message = [take(f"n{n}", due=relay.clock() + 20.0) for n in range(4)]
            for n, each in enumerate(message):
                owner.brain.held.pop(each.id, None)
                acts = owner.brain.round(relay.clock() + n * 0.01, [each])
                for name, route in pushes(acts):
                    owner.brain.round(relay.clock() + n * 0.01, [end(name, route, Result.NO_CONNECTION)])
        await asyncio.sleep(0.5)  # well within the time between two regular copies
        saving.cancel()
        await relay.close()
        again = Relay(load({"LB_CONFIG": path, "LB_STATE": self.folder}))
        await again.transition("begun")
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


class Copied(unittest.TestCase):
    def test_a_copy_from_within_an_outage_that_is_not_proven_yet_is_read_as_one_of_an_outage(self):
        """Some failures among many deliveries prove nothing while one looks on: the next life does not."""
        b, now = made_brain(routes=("a",), rate=RATE), 1.0
        for n in range(20):
            b.round(now, [take(f"w{n}")])
            b.round(now + 0.01, [end(f"w{n}", "a", Result.DELIVERED, ended=True)])
            now += 0.02
        while not b.dests[7].tally.row:
            for name, _ in pushes(b.round(now, [take(f"n{now}")])):
                b.round(now + 0.01, [end(name, "a", Result.NO_CONNECTION, b.held[name].pushes - 1)])
            now += 0.05
        self.assertIsNone(b.routes["a"].pacer.cold)
        warm, cold = made_brain(routes=("a",), rate=RATE), made_brain(routes=("a",), rate=RATE)
        for each in (warm, cold):
            learned_state.restore(each, json.loads(json.dumps(learned_state.export(b))))
        learned_state.assume_down(cold, learned_state.failing(cold))
        rules = settings().rules
        self.assertGreaterEqual(warm.routes["a"].pacer.rate(now), RATE)
        self.assertLess(cold.routes["a"].pacer.rate(now), RATE * rules.cold_share * rules.overload_factor)


if __name__ == "__main__":
    unittest.main()
