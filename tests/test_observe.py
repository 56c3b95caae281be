"""The structured log, suppression of repeated lines, the event registry, and circuit events."""

import io
import json
import re
import unittest
from pathlib import Path

from loguru import logger

from ryestack.brain import Brain
from ryestack.interface import Result
from ryestack.lifecycle.watched import Watched
from ryestack.observe import log
from ryestack.observe.pages import with_current_table
from ryestack.observe.registry import EVENTS
from ryestack.observe.repeats import Repeats

from .helpers import brain, end, take

ROOT = Path(__file__).parent.parent


class Lines(unittest.TestCase):
    def setUp(self):
        self.sink = io.StringIO()
        self.addCleanup(log.setup, sink=lambda _: None)

    def lines(self):
        return self.sink.getvalue().splitlines()

    def test_text_for_people(self):
        log.setup("n0", sink=self.sink)
        log.event("phase.changed", phase="winding up", why="settled")
        stamp = r"\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{6}Z"
        [line] = self.lines()
        self.assertRegex(line, rf'^{stamp} INFO     n0\[\d+\] phase\.changed phase="winding up" why=settled$')

    def test_one_json_object_per_line_with_the_traceback_in_it(self):
        log.setup("n0", "json", sink=self.sink)
        log.event("relay.summary", counts={"taken": 3}, owed=1)
        try:
            raise OSError("a\nb")
        except OSError:
            log.fault("call.fault", endpoint="s-1")
        first, second = map(json.loads, self.lines())
        found = first["event"], first["counts"], first["relay"]
        self.assertEqual(found, ("relay.summary", {"taken": 3}, "n0"))
        self.assertEqual((second["level"], second["endpoint"]), ("ERROR", "s-1"))
        self.assertIn("OSError: a\nb", second["traceback"])

    def test_braces_and_line_breaks_in_a_value_stay_in_one_line(self):
        for form in ("text", "json"):
            log.setup("n0", form, sink=self.sink)
            log.event("config.kept", why="{x} <red>\nb")
        first, second = self.lines()
        self.assertIn(r'why="{x} <red>\nb"', first)
        self.assertEqual(json.loads(second)["why"], "{x} <red>\nb")

    def test_a_field_that_the_registry_does_not_list_raises(self):
        with self.assertRaises(ValueError):
            log.event("ends.flowing", body="x")

    def test_repeated_lines_are_suppressed_and_counted(self):
        log.setup("n0", period=3600.0, sink=self.sink)
        for route in ("a", "a", "b", "a"):
            log.event("route.opened", route=route)
        log.flush(1e12)
        lines = [line.split("] ")[1] for line in self.lines()]
        wanted = ["route.opened route=a", "route.opened route=b", 'log.repeated of="route.opened a" count=2']
        self.assertEqual(lines, wanted)


class RepeatedLines(unittest.TestCase):
    def test_the_first_line_then_one_count_per_period(self):
        repeats = Repeats(10.0)
        counts = [repeats.record("k", t) for t in (0.0, 1.0, 9.9, 10.0, 11.0)]
        self.assertEqual(counts, [0, None, None, 2, None])
        self.assertEqual(repeats.due(19.0), [])
        self.assertEqual((repeats.due(20.0), repeats.due(30.0), len(repeats.rows)), ([("k", 1)], [], 0))

    def test_the_number_of_remembered_keys_is_limited(self):
        repeats = Repeats(10.0)
        for i in range(5000):
            repeats.record(i, float(i) * 1e-6)
        self.assertEqual(len(repeats.rows), repeats.MAX_KEYS)


class Registry(unittest.TestCase):
    def test_the_page_is_current(self):
        page = (ROOT / "docs/oncall.md").read_text()
        self.assertEqual(with_current_table(page), page)
        with self.assertRaises(ValueError):
            with_current_table("no markers")

    def test_every_event_is_used_and_every_line_is_an_event(self):
        used, bypassing = set(), []
        for path in (ROOT / "ryestack").rglob("*.py"):
            text = path.read_text()
            used |= set(re.findall(r'"([a-z]+\.[a-z_]+)"', text)) if path.name != "registry.py" else set()
            if path.name != "log.py" and "from loguru" in text:
                bypassing.append(path.name)
        self.assertEqual((set(EVENTS) - used, bypassing), (set(), []))


class CircuitEvents(unittest.TestCase):
    def test_circuits_are_logged_and_decisions_stay_the_same(self):
        sink = io.StringIO()
        log.setup("n0", sink=sink)
        self.addCleanup(logger.remove)
        plain, watched = brain(routes=("a",)), Watched(brain(routes=("a",)).settings, 1)
        watched.__dict__ |= {k: v for k, v in brain(routes=("a",)).__dict__.items()}
        for each in (plain, watched):
            actions = []
            for i in range(4):
                actions.append(each.round(1.0 + i, [take(f"n{i}")]))
                actions.append(each.round(1.5 + i, [end(f"n{i}", "a", Result.ERROR)]))
            each.actions_seen = actions
        self.assertEqual(plain.actions_seen, watched.actions_seen)
        self.assertIsInstance(watched, Brain)
        self.assertIn("route.opened route=a destination=7 why=failures", sink.getvalue())


if __name__ == "__main__":
    unittest.main()
