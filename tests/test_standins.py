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

from ryestack.standins.behaviour import Desk, draw
from ryestack.standins.books import Books, Line, dump, load
from ryestack.standins.partner import Partner
from ryestack.standins.platform import Platform
from ryestack.standins.stage import Change, Endpoint, Pace, Stage, faults_of
from ryestack.standins.stage import Platform as PlatformStage
from ryestack.standins.timeline import Timeline

LIMIT = aiohttp.ClientTimeout(total=0.4)


def desk(mode=None, now=0.0, **more):
    made = Desk(Endpoint("e", 1, **{"pace": Pace("fixed", 0.1), **more}), Random(1))
    if mode:
        made.tell(Change(0.0, mode=mode), now)
    return made


class AnEndpoint(unittest.TestCase):
    def test_slots_then_the_queue_then_full(self):
        d = desk(slots=1, queue=1)
        self.assertEqual([d.arrive(0.0).how for _ in range(3)], ["run", "queue", "full"])
        self.assertTrue(d.leave())  # the one that waits has the slot
        self.assertEqual((d.begin().how, d.running, d.waiting), ("run", 1, 0))
        self.assertFalse(d.leave())
        self.assertEqual((d.running, d.arrive(0.1).how), (0, "run"))

    def test_a_limit_in_a_span_with_the_wait_told_and_refused_calls_counted_or_not(self):
        for counted, later in ((False, "run"), (True, "full")):
            d = desk(limit=2.0, span=1.0, refused_count=counted, slots=9)
            met = [d.arrive(t) for t in (0.0, 0.1, 0.4, 0.5)]
            self.assertEqual([m.how for m in met], ["run", "run", "full", "full"])
            self.assertAlmostEqual(met[2].wait, 0.6)
            self.assertEqual(d.arrive(1.15).how, later)

    def test_cold_it_falls_when_pushed_over_and_comes_back_cold(self):
        d = desk("cold", weight=10.0, cold_share=0.5, cold_time=10.0, fall_factor=1.5, fall_for=2.0, slots=99)
        calm = [d.arrive(i * 0.25).how for i in range(20)]  # 4 a second, its share allows 7.5 and more
        self.assertEqual(set(calm), {"run"})
        hard = [d.arrive(5.0 + i * 0.02).how for i in range(20)]
        self.assertIn("reset-before", hard)
        self.assertFalse(d.listens(5.5))
        self.assertEqual((d.listens(8.0), d.state), (True, "cold"))
        self.assertEqual((d.listens(19.0), d.state), (True, "up"))

    def test_what_is_told_over_what_was(self):
        d = desk("refuse")
        self.assertFalse(d.listens(1.0))
        d.tell(Change(0.0, mode="ok"), 2.0)
        self.assertEqual((d.listens(2.0), d.arrive(2.0).how), (True, "run"))

    def test_modes_and_the_part_that_meets_them(self):
        met = {mode: desk(mode).arrive(0.0) for mode in ("lost", "silent", "error", "reset-after", "slow")}
        self.assertEqual({m: (r.how, r.runs) for m, r in met.items()}, {
            "lost": ("lost", True), "silent": ("silent", False), "error": ("error", False),
            "reset-after": ("reset-after", True), "slow": ("run", True),
        })
        self.assertAlmostEqual(met["slow"].seconds, 1.0)
        d = desk(slots=1000, queue=0)
        d.tell(Change(0.0, mode="error", part=0.25), 0.0)
        share = sum(d.arrive(0.0).how == "error" for _ in range(1000)) / 1000
        self.assertAlmostEqual(share, 0.25, delta=0.05)

    def test_paces_have_the_mean_they_say(self):
        for shape in ("fixed", "exponential", "lognormal"):
            drawn = [draw(Pace(shape, 0.05, 0.5), Random(i)) for i in range(4000)]
            self.assertAlmostEqual(sum(drawn) / 4000, 0.05, delta=0.004)


class AStage(unittest.TestCase):
    def test_faults_of_values_and_of_what_they_say_together(self):
        row = {"name": "a", "destination": 1}
        self.assertEqual(faults_of({"endpoint": [row]}), [])
        at = [{"after": 1.0, "endpoint": "b", "mode": "ok"}, {"after": 2.0}]
        told = faults_of({"endpoint": [row, row], "at": at, "control": "10.0.0.1:80"})
        keys = ["endpoint[0].name", "endpoint[1].name", "at[0].endpoint", "at[1]", "control"]
        self.assertEqual([key for key, _ in told], keys)
        self.assertEqual([k for k, _ in faults_of({"endpoint": [row], "at": [{"after": 1, "mode": "of"}]})],
                         ["at[0].mode"])

    def test_each_change_is_given_once_in_order(self):
        line = Timeline([Change(2.0, mode="ok"), Change(1.0, mode="error")])
        self.assertEqual([c.mode for c in line.due(1.5)], ["error"])
        self.assertEqual((line.next(), [c.mode for c in line.due(9.0)], line.due(99.0)), (2.0, ["ok"], []))

    def test_books_come_back_as_they_were_and_say_when_they_are_not_whole(self):
        books = Books()
        books.add(books.lines, Line("e", 1.0))
        self.assertEqual(load(dump(books)), books)


class OnSockets(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        rows = [Endpoint("a", 1, pace=Pace("fixed", 0.05), many=3), Endpoint("b", 1, pace=Pace("fixed", 0.0))]
        here = PlatformStage("127.0.0.1:0", "127.0.0.1:0")
        self.stage = Stage(rows, platform=here, control="127.0.0.1:0")
        self.partner = Partner(self.stage)
        await self.partner.start()
        places = {name: place.address for name, place in self.partner.places.items()}
        self.platform = Platform(self.stage, places)
        await self.platform.start()
        self.session = aiohttp.ClientSession(timeout=LIMIT)

    async def asyncTearDown(self):
        await self.session.close()
        await self.partner.close()
        await self.platform.close()

    async def call(self, endpoint="a", path="/receive", name="n", data=b"x"):
        url = f"http://{self.partner.places[endpoint].address}{path}"
        headers = {"X-Request-Id": name, "Idempotency-Key": "k"}
        async with self.session.post(url, data=data, headers=headers) as answer:
            return answer.status, await answer.text()

    async def tell(self, control, **change):
        async with self.session.post(f"http://{control}/behave", json=change) as answer:
            return answer.status, await answer.text()

    async def test_each_effect_is_in_the_books_with_its_times(self):
        self.assertEqual((await self.call())[0], 200)
        [run] = self.partner.books.runs
        self.assertEqual((run.id, run.key, run.endpoint, run.size), ("n", "k", "a", 1))
        self.assertTrue(run.came + 0.04 < run.at <= run.answered <= time.time())
        self.assertEqual([line.calls for line in self.partner.books.lines], [1])

    async def test_many_in_a_call(self):
        body = b"n - 2\r\n\r\n\r\nm k 1\r\ny\r\n"
        self.assertEqual(await self.call(path="/receive-many", data=body), (200, "n done\r\nm done\r\n"))
        found = [(r.id, r.key, r.size) for r in self.partner.books.runs]
        self.assertEqual(found, [("n", "", 2), ("m", "k", 1)])
        for bad in (b"", b"n - 2\r\nx\r\n", b"n - 1\r\nx\r\nn - 1\r\nx\r\n", b"junk"):
            self.assertEqual((await self.call(path="/receive-many", data=bad))[0], 400, bad)
        four = b"".join(b"%d - 0\r\n\r\n" % i for i in range(4))
        self.assertEqual((await self.call(path="/receive-many", data=four))[0], 413)

    async def test_what_was_asked_is_done_though_nobody_waits(self):
        for mode in ("lost", "reset-after"):
            self.assertEqual((await self.tell(self.partner.address, endpoint="a", mode=mode))[0], 200)
            with self.assertRaises((aiohttp.ClientError, TimeoutError)):
                await self.call(name=mode)
        found = [(r.id, r.answered) for r in self.partner.books.runs]
        self.assertEqual(found, [("lost", 0.0), ("reset-after", 0.0)])
        for mode in ("silent", "hang", "reset-before"):
            await self.tell(self.partner.address, endpoint="a", mode=mode)
            with self.assertRaises((aiohttp.ClientError, TimeoutError)):
                await self.call(name=mode)
        self.assertEqual(len(self.partner.books.runs), 2)

    async def test_down_nobody_listens_and_the_other_endpoint_does(self):
        await self.tell(self.partner.address, endpoint="a", mode="refuse")
        with self.assertRaises(aiohttp.ClientConnectorError):
            await self.call()
        self.assertEqual((await self.call("b"))[0], 200)
        await self.tell(self.partner.address, mode="ok")
        self.assertEqual((await self.call())[0], 200)

    async def test_a_change_that_cannot_be_made_is_told_why(self):
        for change in ({"mode": "x"}, {"endpoint": "z", "mode": "ok"}, {"mod": "ok"}):
            status, text = await self.tell(self.partner.address, **change)
            self.assertEqual((status, bool(text)), (400, True), change)

    async def test_the_watch_the_whole_list_and_a_change(self):
        url = f"http://{self.platform.address}/catalog/members"
        async with self.session.get(url) as answer:
            told = await answer.json()
        self.assertEqual((told["snapshot"], len(told["endpoints"])), (True, 2))
        watch = asyncio.ensure_future(self.session.get(url, params={"from": "1", "hold_ms": "300"}))
        await asyncio.sleep(0.05)
        await self.tell(self.platform.control, endpoint="b", listed="draining")
        changed = await (await watch).json()
        found = changed["snapshot"], [r["status"] for r in changed["endpoints"]]
        self.assertEqual(found, (False, ["draining"]))
        async with self.session.get(url, params={"from": "99", "hold_ms": "0"}) as answer:
            self.assertTrue((await answer.json())["snapshot"])  # a version that is none of ours

    async def test_notices_are_kept_refused_or_left_unanswered(self):
        url = f"http://{self.platform.address}/status"
        good = json.dumps({"id": "n", "state": "returned", "after_ms": 500})
        for body, status in ((good, 204), ("junk", 400), ('{"id":"n","state":"odd"}', 400)):
            async with self.session.post(url, data=body) as answer:
                self.assertEqual(answer.status, status)
        [notice] = self.platform.books.notices
        self.assertEqual((notice.id, notice.state, notice.after), ("n", "returned", 0.5))
        await self.tell(self.platform.control, silence="all")
        with self.assertRaises(TimeoutError):
            await self.session.post(url, data=good)


class Programs(unittest.IsolatedAsyncioTestCase):
    async def test_each_serves_as_a_program_until_it_is_told_to_stop(self):
        for kind in ("partner", "platform"):
            with tempfile.TemporaryDirectory() as folder:
                path = Path(folder) / "stage.toml"
                path.write_text(STAGE)
                command = [sys.executable, "-m", "ryestack", "standin", kind, str(path)]
                pipe = asyncio.subprocess.PIPE
                process = await asyncio.create_subprocess_exec(*command, stderr=pipe)
                said = b""
                async with asyncio.timeout(10.0):
                    while b"stop with Ctrl-C" not in said:
                        line = await process.stderr.readline()
                        self.assertTrue(line, said.decode())
                        said += line
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
