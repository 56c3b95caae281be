"""The soak test's own parts: what it draws, what its faults do, and that its judge sees each broken rule."""

import asyncio
import errno
import os
import subprocess
import sys
import tempfile
import time
import unittest
from pathlib import Path

from ryestack.lab.soak import schedule
from ryestack.lab.soak.fault_control import Fault, FaultControl, build
from ryestack.lab.soak.invariants import Evidence, budget, judge_soak
from ryestack.lab.soak.model import (
    RESTARTS,
    Answer,
    Attempt,
    Away,
    Behaviour,
    Drained,
    Kind,
    Returned,
    Trouble,
)
from ryestack.lab.soak.scenario import Scenario, SoakPlan
from ryestack.standins.books import Arrival, Books, Notice, Run
from ryestack.standins.links import Link
from ryestack.standins.stage import Endpoint

ENDPOINT = Endpoint(
    "p0-0", 1, weight=20.0, cold_time=4.0, cold_share=0.25, fall_factor=1.0, fall_time=1.0
)


def attempt(name="r0-1-1", effect="once-only", answer=Answer.TAKEN, behaviour=Behaviour.PLAIN, **more):
    return Attempt(name, 0, "charge", effect, "", behaviour, 100.0, 106.0, answer, 100.1, **more)


def run(name="r0-1-1", at=101.0, answered=101.01):
    return Run(name, "", "p0-0", at, at, answered, 48)


def evidence(attempts=(), runs=(), notices=(), arrivals=(), **more):
    books = Books(runs=list(runs), notices=list(notices), arrivals=list(arrivals))
    empty = {"away": [], "drained": [], "returned": [], "logs": {}, "problems": []}
    return Evidence(
        attempts=list(attempts), books=books, endpoints={"p0-0": ENDPOINT}, window=3.0, now=200.0,
        **{**empty, **more},
    )  # fmt: skip


def rules(told):
    return [finding.rule for finding in judge_soak(told).findings]


class Schedule(unittest.TestCase):
    def test_the_same_seed_draws_the_same_and_troubles_overlap(self):
        first = schedule.draw(7, 60.0, 8, 8)
        self.assertEqual(first, schedule.draw(7, 60.0, 8, 8))
        self.assertNotEqual(first, schedule.draw(8, 60.0, 8, 8))
        self.assertGreater(schedule.overlaps(first), len(first) / 2)

    def test_two_restarts_of_one_relay_are_never_played_at_once(self):
        for seed in range(30):
            drawn = [t for t in schedule.draw(seed, 60.0, 3, 3) if t.kind in RESTARTS]
            for i, one in enumerate(drawn):
                for other in drawn[i + 1 :]:
                    apart = one.end() <= other.begin or other.end() <= one.begin
                    self.assertTrue(apart or one.target != other.target, (one, other))


class Judge(unittest.TestCase):
    def test_what_ends_in_time_breaks_nothing(self):
        told = evidence(
            [attempt(), attempt("r0-1-2", answer=Answer.THROTTLED), attempt("r0-1-3")],
            [run()],
            [Notice("r0-1-3", "failed", 105.0)],
        )
        self.assertEqual(rules(told), [])

    def test_each_broken_rule_is_seen(self):
        cold = [Arrival(f"r0-1-{n}", "p0-0", 100.0 + n / 40.0, "run") for n in range(40)]
        drained = [Drained("p0-0", 90.0, 120.0)]
        for rule, told in (
            ("notification", evidence([attempt()])),  # lost
            ("notification", evidence([attempt()], [run(), run(at=102.0)])),  # twice
            ("late end", evidence([attempt()], [], [Notice("r0-1-1", "failed", 106.5)])),
            ("unanswered", evidence([attempt(answer=Answer.CLOSED)])),
            ("unanswered", evidence([attempt(answer=Answer.MALFORMED)])),
            ("unanswered", evidence([attempt(answer=Answer.CLOSED, behaviour=Behaviour.GARBAGE_BEHIND)])),
            ("drain", evidence(arrivals=[Arrival("r0-1-1", "p0-0", 99.0, "run")], drained=drained)),
            ("budget", evidence(arrivals=cold, returned=[Returned("p0-0", 100.0)])),
            ("traceback", evidence(logs={0: "Traceback (most recent call last):\n"})),
            ("process", evidence(problems=["relay 0 is gone"])),
        ):
            self.assertEqual(rules(told), [rule], rule)

    def test_a_wait_binds_the_relay_that_was_told_it_until_it_restarts(self):
        told = Arrival("r0-1-1", "p0-0", 100.0, "full", 1.0)
        again = Arrival("r0-1-2", "p0-0", 100.5, "run")
        self.assertEqual(rules(evidence(arrivals=[told, again])), ["wait"])
        for other in (
            Arrival("r0-1-2", "p0-0", 100.05, "run"),
            Arrival("r1-1-2", "p0-0", 100.5, "run"),
            Arrival("r0-1-2", "p0-0", 101.0, "run"),
        ):
            self.assertEqual(rules(evidence(arrivals=[told, other])), [])
        away = [Away(0, 100.1, 100.1, 100.4)]
        self.assertEqual(rules(evidence(arrivals=[told, again], away=away)), [])

    def test_an_end_that_a_restart_delays_is_not_late(self):
        notice, away = Notice("r0-1-1", "failed", 107.0), Away(0, 105.0, 105.0, 106.0)
        told = evidence([attempt()], [], [notice], away=[away])
        self.assertEqual(rules(told), [])

    def test_a_client_that_stops_within_its_request_hears_in_time(self):
        left = attempt(answer=Answer.UNHEARD, behaviour=Behaviour.HALF_BODY)
        left.ended = left.sent + 5.0
        self.assertEqual(rules(evidence([left])), ["left open"])
        self.assertEqual(rules(evidence([attempt(answer=Answer.CLOSED, behaviour=Behaviour.HALF_BODY)])), [])

    def test_the_budget_has_more_room_for_chance_where_few_calls_are_allowed(self):
        self.assertAlmostEqual(budget(25.0), 25.0 + 15.0 + 3.0)
        self.assertAlmostEqual(budget(100.0), 100.0 + 20.0 + 2.0)


PROBE = """
import os, socket, sys, time
folder, what = sys.argv[1:]
def told(call):
    try:
        return call()
    except OSError as problem:
        return -problem.errno
def listen():
    server = socket.create_server(("127.0.0.1", 0))
    client = socket.create_connection(server.getsockname())
    return server.accept() and 0
def write(path):
    fd = os.open(path, os.O_CREAT | os.O_WRONLY)
    return os.write(fd, b"x" * 100)
print({
    "clock": lambda: round(time.time() - float(os.environ["NOW"])),
    "accept": lambda: told(listen),
    "write": lambda: told(lambda: write(f"{folder}/state/file")),
    "elsewhere": lambda: told(lambda: write(f"{folder}/file")),
    "create": lambda: told(lambda: write(f"{folder}/state/new")),
}[what]())
"""


class Faults(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.temporary = tempfile.TemporaryDirectory()
        cls.folder = Path(cls.temporary.name)
        (cls.folder / "state").mkdir()
        cls.library = build(cls.folder)

    @classmethod
    def tearDownClass(cls):
        cls.temporary.cleanup()

    def probe(self, what: str) -> int:
        command = [sys.executable, "-c", PROBE, str(self.folder), what]
        environment = {**os.environ, **self.control.environment(self.library, self.folder / "state")}
        environment["NOW"] = str(time.time())
        done = subprocess.run(command, env=environment, capture_output=True, check=True, timeout=30)
        return int(done.stdout)

    def setUp(self):
        self.control = FaultControl(self.folder / "control")
        self.addCleanup(self.control.close)
        (self.folder / "state" / "file").write_bytes(b"")

    def test_the_wall_clock_is_stepped_for_the_process_alone(self):
        self.control.step_wall_clock(-3600.0)
        self.assertAlmostEqual(self.probe("clock"), -3600, delta=5)

    def test_a_call_fails_as_told_and_is_counted(self):
        self.control.set(Fault.ACCEPT_FAILS, 1.0, errno.ENFILE)
        self.assertEqual(self.probe("accept"), -errno.ENFILE)
        self.assertEqual(self.control.injected(), {"ACCEPT_FAILS": 1})
        self.control.clear()
        self.assertEqual(self.probe("accept"), 0)

    def test_writes_fail_or_stay_short_in_the_named_folder_only(self):
        self.control.set(Fault.WRITE_FAILS, 1.0, errno.ENOSPC)
        self.assertEqual(self.probe("write"), -errno.ENOSPC)
        self.assertEqual(self.probe("elsewhere"), 100)
        self.control.set(Fault.WRITE_FAILS, 0.0)
        self.control.set(Fault.WRITE_SHORT, 1.0)
        self.assertIn(self.probe("write"), range(1, 100))
        self.control.clear()
        self.control.set(Fault.OPEN_FAILS, 1.0, errno.EIO)
        self.assertEqual(self.probe("create"), -errno.EIO)


class Links(unittest.IsolatedAsyncioTestCase):
    async def test_what_a_silent_link_holds_is_lost_once_its_sender_has_given_up(self):
        for forgets in (True, False):
            got = []

            async def take(reader, writer, got=got):
                got.append(await reader.read())
                writer.close()

            server = await asyncio.start_server(take, "127.0.0.1", 0)
            link = Link(server.sockets[0].getsockname()[:2], 1, forgets)
            host, _, port = (await link.start()).rpartition(":")
            _, writer = await asyncio.open_connection(host, int(port))
            link.turn("hole")
            writer.write(b"held")
            await asyncio.sleep(0.1)
            writer.close()
            await asyncio.sleep(0.2)
            link.turn("ok")
            await asyncio.sleep(0.2)
            self.assertEqual(b"".join(got), b"" if forgets else b"held")
            await link.close()
            server.close()


class Played(unittest.IsolatedAsyncioTestCase):
    """A short test of real processes: the troubles that broke rules before, overlapping."""

    TROUBLES = [
        Trouble(Kind.DISK_SHORT, 1.0, 3.0, 0, 0.4),
        Trouble(Kind.PARTNER_OUTAGE, 1.5, 2.5, 0),
        Trouble(Kind.ACCEPT_FAILS, 1.5, 2.0, 1, 0.4),
        Trouble(Kind.CLOCK_STEP, 2.0, 0.2, 0, 3600.0),
        Trouble(Kind.UPGRADE, 2.2, 4.0, 1),
        Trouble(Kind.KILL, 3.0, 0.7, 0),
        Trouble(Kind.SOCKET_IO, 3.0, 2.0, 0, 0.5),
        Trouble(Kind.CLOCK_STEP, 4.5, 0.2, 0, -3600.0),
        Trouble(Kind.STOP, 5.0, 4.0, 0),
        Trouble(Kind.LINK_LOST, 5.0, 2.0, 1),
    ]

    async def test_two_relays_under_ten_troubles_break_no_rule(self):
        plan = SoakPlan(seed=3, relays=2, partners=2, rate=15.0, seconds=9.0, weight=30.0)
        with tempfile.TemporaryDirectory() as folder:
            scenario = Scenario(plan, Path(folder), lambda _: None, self.TROUBLES)
            verdict = judge_soak(await scenario.play())
        self.assertEqual([f"{f.rule}: {f.subject}: {f.what}" for f in verdict.findings], [])
        self.assertGreater(verdict.counts["taken"], 100)
        self.assertGreater(scenario.injected["WRITE_SHORT"], 0)


if __name__ == "__main__":
    unittest.main()
