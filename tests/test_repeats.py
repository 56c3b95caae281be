"""When a repeat may begin, and when the call that carries it ends."""

import unittest

from ryestack import interface
from ryestack.interface import Result

from .helpers import brain, end, take


class Repeats(unittest.TestCase):
    def test_push_begins_a_hold_up_before_its_deadline_and_the_end_of_its_window(self):
        b = brain(routes=("a", "b"))
        rounds = ((1.0, take("n", "merge")), (2.0, end("n", "a", Result.BROKEN)),
                  (3.0, take("m", pushes=1, may_have_run_at=0.0)))
        acts = [a for now, event in rounds for a in b.round(now, [event]) if isinstance(a, interface.Push)]
        duration = b.destinations[7].expected_duration()
        begins = [18.85, round(4.85 - duration, 3), 16.85]
        self.assertEqual([round(a.begin_timeout, 3) for a in acts], begins)

    def test_call_that_carries_a_repeat_ends_before_its_window_does(self):
        b = brain(routes=("a", "b"))
        rounds = ((1.0, take("n", "merge")), (2.0, end("n", "a", Result.BROKEN)))
        acts = [action for now, event in rounds for action in b.round(now, [event])]
        first, again = (action for action in acts if isinstance(action, interface.Push))
        self.assertGreater(first.timeout, 6.0)  # the window begins with it
        self.assertAlmostEqual(again.timeout, 7.0 - b.DEADLINE_MARGIN_S - 2.0)


if __name__ == "__main__":
    unittest.main()
