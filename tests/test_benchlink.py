"""The adapter to the bench: inputs that it must accept, and requests for the list."""

import io
import json
import unittest

from ryestack.benchlink.host import serve

from .helpers import TOPICS

OPTIONS = {
    "allowed": {"maxAttempts": 6, "maxOpen": 100, "mayCancel": True, "peers": True, "connIdleMs": 5000.0},
    "balancers": 200, "discovery": "ask", "kinds": ["shared"], "myZone": "x", "zones": ["x", "y"],
    "grades": [{"name": t.name, "targetMs": 2000.0, "deadlineMs": 20000.0, "effect": "safe"} for t in TOPICS],
    "report": {"names": ["x0", "x1"], "source": "piggyback"},
    "rules": {"coldShare": 0.2, "coldMs": 10000.0, "overloadFactor": 2.0, "fallMs": 2000.0},
    "specifics": {"callSlots": 12, "kindBatch": [1], "routesApart": [False]}, "weights": "rough",
}


def play(*batches):
    """The replies to batches of (clock in ms, events); an earlier batch starts relay 3 with two endpoints."""
    rows = [[e, z, "shared", 7, 1, 50.0, None] for e, z in (("a", "x"), ("b", "y"))]
    begun = (0.0, [["Up", 3, 9, OPTIONS], ["Catalog", 0, rows], ["Sync", 3, 2, 1, 0]])
    lines = []
    for number, (clock, events) in enumerate([begun, *batches]):
        lines += [["Round", clock, number], *events, ["End"]]
    output = io.StringIO()
    serve([json.dumps(line).encode() for line in lines], output)
    replies, now = [], []
    for line in map(json.loads, output.getvalue().splitlines()):
        if line[0] == "Eor":
            replies.append(now)
            now = []
        else:
            now.append(line)
    return replies


class Inputs(unittest.TestCase):
    """Missing or unusable tenants, reports, rates and notes change nothing for a relay."""

    def test_notes_of_any_bytes_are_ignored(self):
        incoming = ["Incoming", 3, "n", 9000.0, None, 7, "again"]
        notes = [["Whisper", 3, 4, octets] for octets in ("", "00", "zz", "f" * 9001, "68692037")]
        plain = play((100.0, [incoming]), (900.0, [["Timer", 3, 0]]))
        noisy = play((100.0, [*notes, incoming, *notes]), (900.0, [["Timer", 3, 0]]))
        self.assertEqual(noisy, plain)
        self.assertIn(["Route", 3, "n"], [line[:3] for line in sum(plain, [])])

    def test_missing_party_and_unusable_reports_are_accepted(self):
        first = play((100.0, [["Incoming", 3, "n", 9000.0, None, 7, "again"]]), (900.0, [["Timer", 3, 0]]))
        [route] = [line for line in sum(first, []) if line[0] == "Route"]
        invalid = (None, {}, {"x0": -1, "x1": 2}, {"x0": 1e999, "x1": "a"}, {"x1": -5}, {"x0": True, "x1": 0})
        for report in invalid:
            reply = ["Reply", 3, "n", 0, route[3], "OK", 80.0, True, None, report]
            batches = [(100.0, [["Incoming", 3, "n", 9000.0, None, 7, "again"]]), (900.0, [["Timer", 3, 0]]),
                       (1000.0, [reply]), (2000.0, [["Incoming", 3, "m", 9000.0, 0, 7, "again"]])]
            output = sum(play(*batches), [])
            self.assertNotIn("Fatal", [line[0] for line in output], report)

    def test_unusable_rates_in_a_list_are_accepted(self):
        for rate in (-5, 0, 1e308, float("inf"), float("nan"), 10**400, 5e-324):
            rows = [["c", "x", "shared", 8, 1, rate, None]]
            asked = (100.0, [["Incoming", 3, "n", 9000.0, None, 8, "again"]])
            listed = (50.0, [["Catalog", 1, rows], ["Sync", 3, 0, 2, 1]])
            output = play(listed, asked, (5000.0, [["Timer", 3, 0]]))
            lines = sum(output, [])
            self.assertNotIn("Fatal", [line[0] for line in lines], rate)
            self.assertIn(["Route", 3, "n", "c"], [line[:4] for line in lines], rate)

    def test_list_requests_spread_and_back_off_and_broken_subscriptions_are_renewed(self):
        ticks = [(10.0 * i, [["Timer", 3, 0]]) for i in range(1, 3000)]
        # Ticks at which a request, or the subscription that it began, fails.
        broken = {200: 1, 500: 2, 1200: 3}
        batches = [(at, [["Sync", 3, 3, 0, 0], *events] if n in broken else events)
                   for n, (at, events) in enumerate(ticks)]
        output = play(*batches)
        asked = [n for n, reply in enumerate(output) if any(line[0] == "Subscribe" for line in reply)]
        self.assertEqual(len(asked), 4)
        self.assertTrue(0 < asked[0] <= 101, asked)  # relays do not all ask when they start
        # Further apart each time, but a change counts as known six seconds after the registry is back.
        self.assertTrue(all(50 <= asked[i] - n <= 351 for i, n in enumerate(broken, 1)), asked)
        self.assertGreater(asked[3] - 1200, 170)


if __name__ == "__main__":
    unittest.main()
