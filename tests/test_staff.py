"""The second address: its figures against what stand-ins saw, drain and resume, callers that hold on."""

import asyncio
import json
import time
import unittest

import aiohttp
from prometheus_client.parser import text_string_to_metric_families

from ryestack import interface as it
from ryestack.interface import Result
from ryestack.lab.trial import free_port
from ryestack.lifecycle.relay import PHASES
from ryestack.lifecycle.watched import Watched
from ryestack.observe import figures
from ryestack.wire.server import ACCEPTED, UNAVAILABLE
from ryestack.wire.staff import MAX_CONNECTIONS

from .helpers import brain, end, http, stand_in, take
from .test_lifecycle import Program
from .test_wire import RAW


def read(text):
    """By an independent reader of the format: (name, labels) -> value."""
    found = [sample for family in text_string_to_metric_families(text) for sample in family.samples]
    return {(s.name, tuple(sorted(s.labels.items()))): s.value for s in found}


def handled(category, outcome):
    return "lb_handled_total", (("category", category), ("outcome", outcome))


class Avoided(unittest.TestCase):
    def test_what_gets_nothing_now(self):
        b = brain(routes=("a", "b", "c"), made=Watched)
        self.assertEqual(b.avoided(["a", "b", "c", "unknown"]), [])
        b.round(1.0, [take(f"n{i}") for i in range(3)])
        b.round(1.1, [end(f"n{i}", "a", Result.ERROR) for i in range(3)])
        drained = it.Endpoint("b", "z", "shared", 7, it.Listed.DRAINING, 50.0)
        b.round(1.2, [it.ListUpdate((drained,))])
        self.assertEqual(b.avoided(["a", "b", "c"]), ["a", "b"])
        self.assertEqual(b.avoided(["c"]), [])


class Text(unittest.TestCase):
    def test_any_name_is_read_back(self):
        names = ["plain", 'a"b', "back\\slash", "two\nlines"]
        values = {name: n for n, (name, *_) in enumerate(figures.FIGURES)}
        told = read(figures.text({(n, end): 3 for n in names for end in figures.OUTCOMES}, names, values))
        for name in names:
            self.assertEqual(told[handled(name, "passed")], 3)
        self.assertEqual(told["lb_load_errors_total", ()], len(values) - 1)


class Drain(unittest.TestCase):
    def test_it_comes_back_from_anywhere_and_a_stop_goes_through(self):
        for heard in ([], ["sent away long enough"]):
            phase = "serving"
            for what in ["told to drain", *heard, "told to resume"]:
                phase, _ = PHASES[phase, what]
            self.assertEqual(phase, "serving")
        for phase in ("emptying", "empty"):
            self.assertEqual(PHASES[phase, "asked to stop"][0], "leaving")


class Staffed(Program):
    async def asyncSetUp(self):
        self.ops = f"127.0.0.1:{free_port()}"
        self.seen, self.times, self.notices = 0, [], []
        self.failing = b""  # the answer, if it is not 200

        def endpoint(*_):
            self.seen += 1
            self.times.append(time.monotonic())
            return self.failing or http(200)

        def platform(head, body):
            if head.startswith(b"POST /status"):
                self.notices.append(json.loads(body))
                return http(204)
            return b""

        self.servers = [await stand_in(endpoint), await stand_in(platform)]
        self.process = await self.start(self.servers[0][1], self.servers[1][1], ops=self.ops)

    async def asyncTearDown(self):
        for server, _ in self.servers:
            server.close()

    async def staff(self, method, path, **more):
        async with aiohttp.request(method, f"http://{self.ops}{path}", **more) as answer:
            return answer.status, await answer.text()

    async def figures(self):
        return read((await self.staff("GET", "/-/metrics"))[1])

    async def until(self, name, value):
        for _ in range(500):
            told = await self.figures()
            if told[name] == value:
                return told
            await asyncio.sleep(0.02)
        self.fail(f"{name} is {told[name]}, not {value}")


class Address(Staffed, unittest.IsolatedAsyncioTestCase):
    async def test_figures_are_what_peers_saw(self):
        self.assertEqual(await self.ask("POST", "/api"), ACCEPTED)
        told = await self.until(handled("again", "passed"), 1)
        self.assertEqual((told["lb_upstream_tries_total", ()], self.seen), (1, 1))
        self.assertEqual((told["lb_known_endpoints", ()], told["lb_in_progress", ()]), (1, 0))
        self.failing = http(500)
        self.assertEqual(await self.ask("POST", "/api", **{"X-Request-Id": "m", "X-Class": "once"}), ACCEPTED)
        told = await self.until(handled("once", "bad_gateway"), 1)
        while not self.notices:
            await asyncio.sleep(0.01)
        self.assertEqual(self.notices, [{"id": "m", "state": "failed"}])
        late = {"X-Request-Id": "o", "X-Deadline": "1u"}
        self.assertEqual(await self.ask("POST", "/api", **late), UNAVAILABLE)
        told = await self.until(handled("again", "dropped"), 1)
        self.assertEqual(told["lb_upstream_tries_total", ()], self.seen)

    async def test_drained_it_says_no_and_holds_no_client_and_resumes(self):
        host, port = self.listen.split(":")
        idle = await asyncio.open_connection(host, int(port))
        self.assertEqual((await self.staff("PUT", "/-/drain"))[0], 200)
        self.assertEqual(await self.ask("GET", "/_health"), UNAVAILABLE)
        self.assertEqual(await self.ask("POST", "/api"), ACCEPTED)  # the front sends on for a moment
        self.assertEqual(await asyncio.wait_for(idle[0].read(), 2.0), b"")
        self.assertEqual(await self.ask("POST", "/api", **{"X-Request-Id": "m"}), UNAVAILABLE)
        late = await asyncio.open_connection(host, int(port))
        self.assertEqual(await asyncio.wait_for(late[0].read(), 1.0), b"")
        self.assertEqual((await self.staff("PUT", "/-/drain"))[0], 200)
        self.assertEqual((await self.staff("GET", "/-/ready"))[0], 200)
        for _ in range(2):
            self.assertEqual((await self.staff("PUT", "/-/resume"))[0], 200)
            self.assertEqual(await self.ask("GET", "/_health"), 200)
        self.assertEqual(await self.ask("POST", "/api", **{"X-Request-Id": "o"}), ACCEPTED)
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(RAW.replace(b": n\r\n", b": p\r\n").replace(b"X-Tenant: ", b"X-Tenant: c") % 1 + b"x")
        self.assertNotIn(b"close", (await reader.readuntil(b"\r\n\r\n")).lower())  # kept open as ever

    async def test_callers_that_hold_on_keep_nobody_out(self):
        host, port = self.ops.split(":")
        held = [await asyncio.open_connection(host, int(port)) for _ in range(2 * MAX_CONNECTIONS)]
        held[-1][1].write(b"GET /-/rea")
        began = time.monotonic()
        for call, status in ((("GET", "/-/ready"), 200), (("GET", "/-/drain"), 405), (("GET", "/x"), 404)):
            self.assertEqual((await self.staff(*call))[0], status)
        self.assertEqual((await self.staff("PUT", "/-/resume", data=b"{}"))[0], 200)
        self.assertEqual((await self.staff("PUT", "/-/resume", data=b"x" * 9999))[0], 413)
        self.assertLess(time.monotonic() - began, 1.0)
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"nonsense\r\n\r\n")
        self.assertIn(b" 400 ", await asyncio.wait_for(reader.read(), 1.0))


if __name__ == "__main__":
    unittest.main()
