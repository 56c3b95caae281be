"""Stand-ins: behaviour of endpoints, stage files, records, and the servers on sockets."""

import asyncio
import json
import signal
import sys
import tempfile
import time
import unittest
from pathlib import Path
from random import Random

import aiohttp

from ryestack.standins.behaviour import EndpointBehaviour, draw
from ryestack.standins.books import Books, ConnectionRecord, dump, load
from ryestack.standins.partner import Partner
from ryestack.standins.platform import Platform
from ryestack.standins.stage import Change, Endpoint, Pace, Stage, faults_of
from ryestack.standins.stage import Platform as PlatformStage
from ryestack.standins.timeline import Timeline

CLIENT_TIMEOUT = aiohttp.ClientTimeout(total=0.4)


def make_behaviour(mode=None, now=0.0, **options):
    made = EndpointBehaviour(Endpoint("e", 1, **{"pace": Pace("fixed", 0.1), **options}), Random(1))
    if mode:
        made.apply(Change(0.0, mode=mode), now)
    return made


class EndpointBehaviourTest(unittest.TestCase):
    def test_calls_take_slots_then_the_queue_then_are_refused(self):
        behaviour = make_behaviour(slots=1, queue=1)
        self.assertEqual([behaviour.arrive(0.0).kind for _ in range(3)], ["run", "queue", "full"])
        self.assertTrue(behaviour.finish_call())  # the waiting call gets the slot
        self.assertEqual((behaviour.start_call().kind, behaviour.running, behaviour.waiting), ("run", 1, 0))
        self.assertFalse(behaviour.finish_call())
        self.assertEqual((behaviour.running, behaviour.arrive(0.1).kind), (0, "run"))

    def test_rate_limit_sends_the_wait_and_counts_refused_calls_only_if_configured(self):
        for counted, later in ((False, "run"), (True, "full")):
            behaviour = make_behaviour(limit=2.0, span=1.0, refused_count=counted, slots=9)
            outcomes = [behaviour.arrive(t) for t in (0.0, 0.1, 0.4, 0.5)]
            self.assertEqual([outcome.kind for outcome in outcomes], ["run", "run", "full", "full"])
            self.assertAlmostEqual(outcomes[2].retry_after, 0.6)
            self.assertEqual(behaviour.arrive(1.15).kind, later)

    def test_a_cold_endpoint_falls_under_overload_and_returns_cold(self):
        behaviour = make_behaviour(
            "cold", weight=10.0, cold_share=0.5, cold_time=10.0, fall_factor=1.5, fall_for=2.0, slots=99
        )
        # 4 calls a second; its share allows at least 7.5
        below_limit = [behaviour.arrive(i * 0.25).kind for i in range(20)]
        self.assertEqual(set(below_limit), {"run"})
        overload = [behaviour.arrive(5.0 + i * 0.02).kind for i in range(20)]
        self.assertIn("reset-before", overload)
        self.assertFalse(behaviour.listens(5.5))
        self.assertEqual((behaviour.listens(8.0), behaviour.state), (True, "cold"))
        self.assertEqual((behaviour.listens(19.0), behaviour.state), (True, "up"))

    def test_a_later_change_replaces_the_mode(self):
        behaviour = make_behaviour("refuse")
        self.assertFalse(behaviour.listens(1.0))
        behaviour.apply(Change(0.0, mode="ok"), 2.0)
        self.assertEqual((behaviour.listens(2.0), behaviour.arrive(2.0).kind), (True, "run"))

    def test_modes_apply_to_the_configured_fraction_of_calls(self):
        modes = ("lost", "silent", "error", "reset-after", "slow")
        outcomes = {mode: make_behaviour(mode).arrive(0.0) for mode in modes}
        self.assertEqual({mode: (outcome.kind, outcome.has_effect) for mode, outcome in outcomes.items()}, {
            "lost": ("lost", True), "silent": ("silent", False), "error": ("error", False),
            "reset-after": ("reset-after", True), "slow": ("run", True),
        })
        self.assertAlmostEqual(outcomes["slow"].run_seconds, 1.0)
        behaviour = make_behaviour(slots=1000, queue=0)
        behaviour.apply(Change(0.0, mode="error", part=0.25), 0.0)
        share = sum(behaviour.arrive(0.0).kind == "error" for _ in range(1000)) / 1000
        self.assertAlmostEqual(share, 0.25, delta=0.05)

    def test_run_times_have_the_configured_mean(self):
        for shape in ("fixed", "exponential", "lognormal"):
            drawn = [draw(Pace(shape, 0.05, 0.5), Random(i)) for i in range(4000)]
            self.assertAlmostEqual(sum(drawn) / 4000, 0.05, delta=0.004)


class StageTest(unittest.TestCase):
    def test_faults_of_single_values_and_of_contradicting_values(self):
        row = {"name": "a", "destination": 1}
        self.assertEqual(faults_of({"endpoint": [row]}), [])
        changes = [{"after": 1.0, "endpoint": "b", "mode": "ok"}, {"after": 2.0}]
        faults = faults_of({"endpoint": [row, row], "at": changes, "control": "10.0.0.1:80"})
        keys = ["endpoint[0].name", "endpoint[1].name", "at[0].endpoint", "at[1]", "control"]
        self.assertEqual([key for key, _ in faults], keys)
        self.assertEqual([k for k, _ in faults_of({"endpoint": [row], "at": [{"after": 1, "mode": "of"}]})],
                         ["at[0].mode"])

    def test_each_change_is_returned_once_in_order(self):
        timeline = Timeline([Change(2.0, mode="ok"), Change(1.0, mode="error")])
        self.assertEqual([c.mode for c in timeline.due(1.5)], ["error"])
        found = timeline.next(), [c.mode for c in timeline.due(9.0)], timeline.due(99.0)
        self.assertEqual(found, (2.0, ["ok"], []))

    def test_books_are_equal_after_encoding_and_decoding(self):
        books = Books()
        books.add(books.lines, ConnectionRecord("e", 1.0))
        self.assertEqual(load(dump(books)), books)


class SocketTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        rows = [Endpoint("a", 1, pace=Pace("fixed", 0.05), many=3), Endpoint("b", 1, pace=Pace("fixed", 0.0))]
        platform = PlatformStage("127.0.0.1:0", "127.0.0.1:0")
        self.stage = Stage(rows, platform=platform, control="127.0.0.1:0")
        self.partner = Partner(self.stage)
        await self.partner.start()
        addresses = {name: server.address for name, server in self.partner.places.items()}
        self.platform = Platform(self.stage, addresses)
        await self.platform.start()
        self.session = aiohttp.ClientSession(timeout=CLIENT_TIMEOUT)

    async def asyncTearDown(self):
        await self.session.close()
        await self.partner.close()
        await self.platform.close()

    async def call(self, endpoint="a", path="/receive", name="n", data=b"x"):
        url = f"http://{self.partner.places[endpoint].address}{path}"
        headers = {"X-Request-Id": name, "Idempotency-Key": "k"}
        async with self.session.post(url, data=data, headers=headers) as answer:
            return answer.status, await answer.text()

    async def send_change(self, control, **change):
        async with self.session.post(f"http://{control}/behave", json=change) as answer:
            return answer.status, await answer.text()

    async def test_each_effect_is_in_the_books_with_its_times(self):
        self.assertEqual((await self.call())[0], 200)
        [run] = self.partner.books.runs
        self.assertEqual((run.id, run.key, run.endpoint, run.size), ("n", "k", "a", 1))
        self.assertTrue(run.came + 0.04 < run.at <= run.answered <= time.time())
        self.assertEqual([line.calls for line in self.partner.books.lines], [1])

    async def test_a_call_with_several_notifications(self):
        body = b"n - 2\r\n\r\n\r\nm k 1\r\ny\r\n"
        self.assertEqual(await self.call(path="/receive-many", data=body), (200, "n done\r\nm done\r\n"))
        found = [(r.id, r.key, r.size) for r in self.partner.books.runs]
        self.assertEqual(found, [("n", "", 2), ("m", "k", 1)])
        for bad in (b"", b"n - 2\r\nx\r\n", b"n - 1\r\nx\r\nn - 1\r\nx\r\n", b"junk"):
            self.assertEqual((await self.call(path="/receive-many", data=bad))[0], 400, bad)
        four = b"".join(b"%d - 0\r\n\r\n" % i for i in range(4))
        self.assertEqual((await self.call(path="/receive-many", data=four))[0], 413)

    async def test_a_call_takes_effect_although_its_connection_ends_without_an_answer(self):
        for mode in ("lost", "reset-after"):
            self.assertEqual((await self.send_change(self.partner.address, endpoint="a", mode=mode))[0], 200)
            with self.assertRaises((aiohttp.ClientError, TimeoutError)):
                await self.call(name=mode)
        found = [(r.id, r.answered) for r in self.partner.books.runs]
        self.assertEqual(found, [("lost", 0.0), ("reset-after", 0.0)])
        for mode in ("silent", "hang", "reset-before"):
            await self.send_change(self.partner.address, endpoint="a", mode=mode)
            with self.assertRaises((aiohttp.ClientError, TimeoutError)):
                await self.call(name=mode)
        self.assertEqual(len(self.partner.books.runs), 2)

    async def test_a_refusing_endpoint_does_not_listen_and_the_other_one_does(self):
        await self.send_change(self.partner.address, endpoint="a", mode="refuse")
        with self.assertRaises(aiohttp.ClientConnectorError):
            await self.call()
        self.assertEqual((await self.call("b"))[0], 200)
        await self.send_change(self.partner.address, mode="ok")
        self.assertEqual((await self.call())[0], 200)

    async def test_an_invalid_change_is_answered_with_the_reason(self):
        for change in ({"mode": "x"}, {"endpoint": "z", "mode": "ok"}, {"mod": "ok"}):
            status, text = await self.send_change(self.partner.address, **change)
            self.assertEqual((status, bool(text)), (400, True), change)

    async def test_a_poll_returns_the_whole_list_or_the_changes(self):
        url = f"http://{self.platform.address}/catalog/members"
        async with self.session.get(url) as answer:
            answered = await answer.json()
        self.assertEqual((answered["snapshot"], len(answered["endpoints"])), (True, 2))
        watch = asyncio.ensure_future(self.session.get(url, params={"from": "1", "hold_ms": "300"}))
        await asyncio.sleep(0.05)
        await self.send_change(self.platform.control, endpoint="b", listed="draining")
        changed = await (await watch).json()
        found = changed["snapshot"], [r["status"] for r in changed["endpoints"]]
        self.assertEqual(found, (False, ["draining"]))
        async with self.session.get(url, params={"from": "99", "hold_ms": "0"}) as answer:
            self.assertTrue((await answer.json())["snapshot"])  # an unknown version gets the whole list

    async def test_notices_are_recorded_refused_or_left_unanswered(self):
        url = f"http://{self.platform.address}/status"
        good = json.dumps({"id": "n", "state": "returned", "after_ms": 500})
        for body, status in ((good, 204), ("junk", 400), ('{"id":"n","state":"odd"}', 400)):
            async with self.session.post(url, data=body) as answer:
                self.assertEqual(answer.status, status)
        [notice] = self.platform.books.notices
        self.assertEqual((notice.id, notice.state, notice.after), ("n", "returned", 0.5))
        await self.send_change(self.platform.control, silence="all")
        with self.assertRaises(TimeoutError):
            await self.session.post(url, data=good)


class ProgramTest(unittest.IsolatedAsyncioTestCase):
    async def test_each_stand_in_serves_as_a_program_until_sigterm(self):
        for kind in ("partner", "platform"):
            with tempfile.TemporaryDirectory() as folder:
                path = Path(folder) / "stage.toml"
                path.write_text(STAGE)
                command = [sys.executable, "-m", "ryestack", "standin", kind, str(path)]
                pipe = asyncio.subprocess.PIPE
                process = await asyncio.create_subprocess_exec(*command, stderr=pipe)
                output = b""
                async with asyncio.timeout(10.0):
                    while b"stop with Ctrl-C" not in output:
                        line = await process.stderr.readline()
                        self.assertTrue(line, output.decode())
                        output += line
                process.send_signal(signal.SIGTERM)
                self.assertEqual(await asyncio.wait_for(process.wait(), 5.0), 0)


STAGE = """control = "127.0.0.1:0"
[platform]
address = "127.0.0.1:0"
control = "127.0.0.1:0"
[[endpoint]]
name = "a"
destination = 1
address = "127.0.0.1:0"
"""


if __name__ == "__main__":
    unittest.main()
