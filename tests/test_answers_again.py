"""An endpoint's answer that comes a second time, late or cut, must not be taken for the answer to another call."""

import tempfile
import unittest
from pathlib import Path

from ryestack.lab.soak.invariants import judge_soak
from ryestack.lab.soak.model import Kind, Trouble
from ryestack.lab.soak.scenario import Scenario, SoakPlan

SECONDS = 8.0


class AnswersAgain(unittest.IsolatedAsyncioTestCase):
    TROUBLES = [Trouble(Kind.PARTNER_BUSY, 0.5, SECONDS, partner) for partner in (0, 1)] + [
        Trouble(Kind.ANSWERS_AGAIN, 0.5, SECONDS, partner) for partner in (0, 1)
    ]

    async def test_copy_of_an_earlier_answer_ends_no_other_call(self):
        """Real processes: a relay, two partners that turn away a quarter, proxies that repeat their answers."""
        plan = SoakPlan(seed=52, relays=1, partners=2, rate=60.0, seconds=SECONDS)
        with tempfile.TemporaryDirectory() as folder:
            scenario = Scenario(plan, Path(folder), lambda _: None, self.TROUBLES)
            verdict = judge_soak(await scenario.play())
        self.assertEqual([f"{f.rule}: {f.subject}: {f.what}" for f in verdict.findings], [])
        self.assertGreater(verdict.counts["taken"], 200)


if __name__ == "__main__":
    unittest.main()
