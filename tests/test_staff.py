"""The operators' address: metrics against what stand-ins saw, drain and resume, callers that stay
connected."""

import asyncio
import json
import time
import unittest

import aiohttp
from prometheus_client.parser import text_string_to_metric_families

from ryestack import interface
from ryestack.interface import Result
from ryestack.lab.ports import free_port
from ryestack.lifecycle.relay import PHASES
from ryestack.lifecycle.watched import Watched
from ryestack.observe import figures
from ryestack.wire.client_answers import ACCEPTED, UNAVAILABLE
from ryestack.wire.staff import MAX_CONNECTIONS

from .helpers import brain, end, http, stand_in, take
from .test_lifecycle import Program
from .test_wire import RAW


def parse_metrics(text):
    """(name, labels) -> value, read by an independent parser of the format."""
    samples = [sample for family in text_string_to_metric_families(text) for sample in family.samples]
    return {(s.name, tuple(sorted(s.labels.items()))): s.value for s in samples}


def handled(category, outcome):
    return "lb_handled_total", (("category", category), ("outcome", outcome))


class AvoidedEndpoints(unittest.TestCase):
    def test_failing_and_draining_endpoints_are_avoided(self):
        module = brain(routes=("a", "b", "c"), made=Watched)
        self.assertEqual(module.skipped_endpoints(["a", "b", "c", "unknown"]), [])
        module.round(1.0, [take(f"n{i}") for i in range(3)])
        module.round(1.1, [end(f"n{i}", "a", Result.ERROR) for i in range(3)])
        drained = interface.Endpoint("b", "z", "shared", 7, interface.EndpointStatus.DRAINING, 50.0)
        module.round(1.2, [interface.ListUpdate((drained,))])
        self.assertEqual(module.skipped_endpoints(["a", "b", "c"]), ["a", "b"])
        self.assertEqual(module.skipped_endpoints(["c"]), [])


class MetricsText(unittest.TestCase):
    def test_any_name_can_be_parsed_back(self):
        names = ["plain", 'a"b', "back\\slash", "two\nlines"]
        values = {name: n for n, (name, *_) in enumerate(figures.FIGURES)}
        counts = {(name, end): 3 for name in names for end in figures.OUTCOMES}
        parsed = parse_metrics(figures.render(counts, names, values))
        for name in names:
            self.assertEqual(parsed[handled(name, "passed")], 3)
        self.assertEqual(parsed["lb_load_errors_total", ()], len(values) - 1)


class Drain(unittest.TestCase):
    def test_a_drain_can_be_resumed_from_any_phase_and_stopped(self):
        for inputs in ([], ["sent away long enough"]):
            phase = "serving"
            for event in ["told to drain", *inputs, "told to resume"]:
                phase, _ = PHASES[phase, event]
            self.assertEqual(phase, "serving")
        for phase in ("emptying", "empty"):
            self.assertEqual(PHASES[phase, "asked to stop"][0], "leaving")


class Staffed(Program):
    async def asyncSetUp(self):
        self.ops = f"127.0.0.1:{free_port()}"
        self.calls, self.times, self.notices = 0, [], []
        self.answer = b""  # the endpoint's answer if it is not 200

        def endpoint(*_):
            self.calls += 1
            self.times.append(time.monotonic())
            return self.answer or http(200)

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

    async def metrics(self):
        return parse_metrics((await self.staff("GET", "/-/metrics"))[1])

    async def until(self, name, value):
        for _ in range(500):
            metrics = await self.metrics()
            if metrics[name] == value:
                return metrics
            await asyncio.sleep(0.02)
        self.fail(f"{name} is {metrics[name]}, not {value}")


class OperatorsAddress(Staffed, unittest.IsolatedAsyncioTestCase):
    async def test_metrics_agree_with_what_the_stand_ins_saw(self):
        self.assertEqual(await self.ask("POST", "/api"), ACCEPTED)
        metrics = await self.until(handled("again", "passed"), 1)
        self.assertEqual((metrics["lb_upstream_tries_total", ()], self.calls), (1, 1))
        self.assertEqual((metrics["lb_known_endpoints", ()], metrics["lb_in_progress", ()]), (1, 0))
        self.assertEqual(metrics["lb_memory_limit_bytes", ()], 192e6)
        resident = metrics["lb_memory_resident_bytes", ()]
        self.assertTrue(0.0 < resident <= metrics["lb_memory_peak_bytes", ()])
        self.assertIn(("lb_client_connections", (("state", "idle"),)), metrics)
        self.assertEqual((metrics["lb_list_version", ()], metrics["lb_list_unsaved", ()]), (1, 0))
        sources = ("configuration", "folder", "predecessor", "registry")
        found = [metrics["lb_list_source", (("source", each),)] for each in sources]
        self.assertEqual(found, [0, 0, 0, 1] if metrics["lb_list_told", ()] else [1, 0, 0, 0])
        self.answer = http(500)
        self.assertEqual(await self.ask("POST", "/api", **{"X-Request-Id": "m", "X-Class": "once"}), ACCEPTED)
        metrics = await self.until(handled("once", "bad_gateway"), 1)
        while not self.notices:
            await asyncio.sleep(0.01)
        self.assertEqual(self.notices, [{"id": "m", "state": "failed"}])
        late = {"X-Request-Id": "o", "X-Deadline": "1u"}
        self.assertEqual(await self.ask("POST", "/api", **late), UNAVAILABLE)
        metrics = await self.until(handled("again", "dropped"), 1)
        self.assertEqual(metrics["lb_upstream_tries_total", ()], self.calls)

    async def test_a_drained_relay_refuses_and_closes_clients_and_resumes(self):
        host, port = self.listen.split(":")
        idle = await asyncio.open_connection(host, int(port))
        self.assertEqual((await self.staff("PUT", "/-/drain"))[0], 200)
        self.assertEqual(await self.ask("GET", "/_health"), UNAVAILABLE)
        self.assertEqual(await self.ask("POST", "/api"), ACCEPTED)  # still sent for a moment
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
        self.assertNotIn(b"close", (await reader.readuntil(b"\r\n\r\n")).lower())  # kept open again

    async def test_callers_that_keep_connections_open_keep_nobody_out(self):
        host, port = self.ops.split(":")
        idle = [await asyncio.open_connection(host, int(port)) for _ in range(2 * MAX_CONNECTIONS)]
        idle[-1][1].write(b"GET /-/rea")
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
