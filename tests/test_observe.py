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
from ryestack.observe.pages import renewed
from ryestack.observe.registry import EVENTS
from ryestack.observe.repeats import Repeats

from .helpers import brain, end, take

ROOT = Path(__file__).parent.parent


class Lines(unittest.TestCase):
    def setUp(self):
        self.sink = io.StringIO()
        self.addCleanup(log.setup, sink=lambda _: None)

    def told(self):
        return self.sink.getvalue().splitlines()

    def test_text_for_people(self):
        log.setup("n0", sink=self.sink)
        log.event("phase.changed", phase="winding up", why="settled")
        stamp = r"\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{6}Z"
        [line] = self.told()
        self.assertRegex(line, rf'^{stamp} INFO     n0\[\d+\] phase\.changed phase="winding up" why=settled$')

    def test_an_object_a_line_for_machines_with_the_traceback_in_it(self):
        log.setup("n0", "json", sink=self.sink)
        log.event("relay.summary", counts={"taken": 3}, owed=1)
        try:
            raise OSError("a\nb")
        except OSError:
            log.fault("call.fault", endpoint="s-1")
        first, second = map(json.loads, self.told())
        told = first["event"], first["counts"], first["relay"]
        self.assertEqual(told, ("relay.summary", {"taken": 3}, "n0"))
        self.assertEqual((second["level"], second["endpoint"]), ("ERROR", "s-1"))
        self.assertIn("OSError: a\nb", second["traceback"])

    def test_braces_and_line_breaks_in_a_value_stay_in_one_line(self):
        for form in ("text", "json"):
            log.setup("n0", form, sink=self.sink)
            log.event("config.kept", why="{x} <red>\nb")
        first, second = self.told()
        self.assertIn(r'why="{x} <red>\nb"', first)
        self.assertEqual(json.loads(second)["why"], "{x} <red>\nb")

    def test_a_field_that_the_registry_does_not_name_is_a_fault(self):
        with self.assertRaises(ValueError):
            log.event("ends.flowing", body="x")

    def test_lines_that_repeat_are_held_back_and_counted(self):
        log.setup("n0", period=3600.0, sink=self.sink)
        for route in ("a", "a", "b", "a"):
            log.event("route.opened", route=route)
        log.flush(1e12)
        told = [line.split("] ")[1] for line in self.told()]
        wanted = ["route.opened route=a", "route.opened route=b", 'log.repeated of="route.opened a" count=2']
        self.assertEqual(told, wanted)


class RepeatedLines(unittest.TestCase):
    def test_first_then_a_count_a_period(self):
        r = Repeats(10.0)
        self.assertEqual([r.hear("k", t) for t in (0.0, 1.0, 9.9, 10.0, 11.0)], [0, None, None, 2, None])
        self.assertEqual(r.due(19.0), [])
        self.assertEqual((r.due(20.0), r.due(30.0), len(r.rows)), ([("k", 1)], [], 0))

    def test_keys_without_end_take_no_memory_without_end(self):
        r = Repeats(10.0)
        for i in range(5000):
            r.hear(i, float(i) * 1e-6)
        self.assertEqual(len(r.rows), r.MOST)


class Registry(unittest.TestCase):
    def test_the_page_is_as_the_registry_says(self):
        page = (ROOT / "docs/oncall.md").read_text()
        self.assertEqual(renewed(page), page)
        with self.assertRaises(ValueError):
            renewed("no place")

    def test_every_event_is_used_and_every_line_is_an_event(self):
        used, plain = set(), []
        for path in (ROOT / "ryestack").rglob("*.py"):
            text = path.read_text()
            used |= set(re.findall(r'"([a-z]+\.[a-z_]+)"', text)) if path.name != "registry.py" else set()
            if path.name != "log.py" and "from loguru" in text:
                plain.append(path.name)
        self.assertEqual((set(EVENTS) - used, plain), (set(), []))


class Watching(unittest.TestCase):
    def test_circuits_are_told_and_decisions_stay_the_same(self):
        sink = io.StringIO()
        log.setup("n0", sink=sink)
        self.addCleanup(logger.remove)
        plain, watched = brain(routes=("a",)), Watched(brain(routes=("a",)).settings, 1)
        watched.__dict__ |= {k: v for k, v in brain(routes=("a",)).__dict__.items()}
        for made in (plain, watched):
            acts = []
            for i in range(4):
                acts.append(made.round(1.0 + i, [take(f"n{i}")]))
                acts.append(made.round(1.5 + i, [end(f"n{i}", "a", Result.ERROR)]))
            made.acts_seen = acts
        self.assertEqual(plain.acts_seen, watched.acts_seen)
        self.assertIsInstance(watched, Brain)
        self.assertIn("route.opened route=a destination=7 why=failures", sink.getvalue())


if __name__ == "__main__":
    unittest.main()
