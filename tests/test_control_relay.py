"""A relay process on loopback that gets its destinations and settings from control machines."""

import asyncio
import json
import os
import subprocess
import sys
import time
import unittest
from contextlib import suppress
from pathlib import Path

import aiohttp
import pytest

from ryestack.control.messages import Entry
from ryestack.interface import EndpointStatus
from ryestack.lab.ports import free_port
from ryestack.lifecycle.scope.destinations import SETTLE_SECONDS, BadEntry, ScopedMembers, read_destination
from ryestack.lifecycle.terms import GRACE_S
from ryestack.store import scope_file
from ryestack.wire.client_answers import ACCEPTED, UNAVAILABLE

from .control_server import ControlServer, until
from .helpers import config, http, stand_in
from .test_lifecycle import Program
from .test_staff import parse_metrics

PLACE = json.dumps({"region": "eu", "zone": "a"}).encode()


def destination(number, *addresses, version=1, **more):
    """The entry of a destination with an endpoint at each address, named by its index."""
    row = {"zone": "z", "type": "shared", "status": "up", "weight": 50.0}
    rows = [{"name": str(at), **row, "address": there, **more} for at, there in enumerate(addresses)]
    value = json.dumps({"region": "eu", "endpoints": rows}).encode()
    return Entry(f"destination/{number}", version, f"eu/{number % 4}", value)


def _header(head, name):
    return head.lower().split(name + b": ")[1].split(b"\r\n")[0]


def change(entry):
    return entry.key, entry.shard, entry.value


class Scoped(Program):
    async def begin(self, *entries, folder_only=False):
        """Starts a control machine with the relay and these entries, and the relay."""
        self.server = await ControlServer().open()
        self.addAsyncCleanup(self.server.close)
        self.server.change(("relay/n0", "@", PLACE), *entries)
        self.operator = Path(self.folder, "operator.toml")
        self.operator.write_text(
            f'format = 1\n[control]\ncluster = "c"\nregion = "eu"\nzone = "a"\nhold = 1\n'
            f'[[control.machines]]\nname = "m0"\naddress = "127.0.0.1:{self.server.port}"\nvoter = true\n'
        )
        self.ops = f"127.0.0.1:{free_port()}"
        self.listen = f"127.0.0.1:{free_port()}"
        self.config_path = config(self.folder, "127.0.0.1:9", listen=self.listen, ops=self.ops)
        return await self.go()

    async def go(self):
        return await self.run_it(self.config_path, RYESTACK_OPERATOR=str(self.operator))

    async def stop(self, process):
        process.terminate()
        await asyncio.wait_for(process.wait(), 20.0)

    async def figure(self, name):
        async with aiohttp.request("GET", f"http://{self.ops}/-/metrics") as answer:
            return parse_metrics(await answer.text())[f"lb_{name}", ()]

    async def applied(self, version):
        """Waits until the relay has acknowledged the version."""
        await until(lambda: self.server.publisher.reports["n0"].applied >= version)

    async def hand_in(self, name, dest=7, **more):
        return await self.ask("POST", "/api", **{"X-Request-Id": name, "X-Envelope": f"dest={dest}", **more})


class Process(Scoped, unittest.IsolatedAsyncioTestCase):
    async def test_destinations_come_and_go_and_what_is_owed_to_a_removed_one_is_delivered(self):
        calls, answered = [], asyncio.Event()

        async def partner(reader, writer):
            with suppress(asyncio.IncompleteReadError, OSError):
                while head := await reader.readuntil(b"\r\n\r\n"):
                    length, name = (_header(head, key) for key in (b"content-length", b"x-request-id"))
                    await reader.readexactly(int(length))
                    calls.append(name)
                    await answered.wait()
                    writer.write(http(500 if len(calls) == 1 else 200))

        other = await asyncio.start_server(partner, "127.0.0.1", 0)
        address = f"127.0.0.1:{other.sockets[0].getsockname()[1]}"
        self.addCleanup(other.close)
        await self.begin()
        self.assertEqual(await self.hand_in("n"), UNAVAILABLE)  # the destination is not in this relay's scope
        await self.applied(self.server.change(change(destination(7, address))))
        self.assertEqual(await self.hand_in("n"), ACCEPTED)
        await asyncio.sleep(0.3)
        await self.applied(self.server.change(("relay/n0", "@", None)))
        self.assertEqual(await self.hand_in("m"), UNAVAILABLE)
        await asyncio.sleep(SETTLE_SECONDS + 1.5)
        self.assertEqual((await self.figure("known_endpoints"), calls), (1, [b"n"]))
        answered.set()
        await until(lambda: len(calls) == 2)  # the first call failed and is repeated
        async with asyncio.timeout(10.0):
            while await self.figure("known_endpoints"):
                await asyncio.sleep(0.1)
        self.assertEqual(await self.figure("in_progress"), 0)
        await self.applied(self.server.change(("relay/n0", "@", PLACE)))
        self.assertEqual(await self.hand_in("o"), ACCEPTED)
        await until(lambda: len(calls) == 3)
        self.assertEqual(calls, [b"n", b"n", b"o"])

    async def test_settings_are_applied_completely_or_not_at_all(self):
        process = await self.begin(change(destination(7, "127.0.0.1:9")))
        self.assertEqual(await self.hand_in("n", **{"X-Class": "fresh"}), 400)
        settings = json.loads(Path(self.config_path).read_text())["settings"]
        fresh = {**settings, "grades": [*settings["grades"], {**settings["grades"][0], "name": "fresh"}]}
        newest = self.server.change(("setting/settings", "*", json.dumps(fresh).encode()))
        await self.applied(newest)
        self.assertEqual(await self.hand_in("n", **{"X-Class": "fresh"}), ACCEPTED)
        for bad, key in (({**fresh, "rules": {}}, "rules"), ({**fresh, "kinds": 3}, "kinds"), ([], "object")):
            value = json.dumps(bad).encode()
            self.server.change(("setting/settings", "*", value), change(destination(8, "127.0.0.1:9")))
            await until(lambda key=key: key in str(self.server.publisher.reports["n0"].rejected))
            self.assertEqual(self.server.publisher.reports["n0"].rejected.key, "setting/settings")
            self.assertEqual(self.server.publisher.reports["n0"].applied, newest)
            self.assertEqual(await self.hand_in("o", dest=8), UNAVAILABLE)
        self.assertEqual(await self.figure("control_rejected"), 1)
        await self.applied(self.server.change(("setting/settings", "*", json.dumps(fresh).encode())))
        self.assertEqual(await self.hand_in("o", dest=8), ACCEPTED)
        process.send_signal(1)  # SIGHUP: reloads the file; the settings of the control machines stay in force
        await asyncio.sleep(GRACE_S + 0.3)  # clients may use the old settings until then
        self.assertEqual(await self.hand_in("p", **{"X-Class": "fresh"}), ACCEPTED)
        await self.applied(self.server.change(("setting/settings", "*", None)))
        async with asyncio.timeout(10.0):  # the file's settings are in force again after a grace period
            while await self.hand_in(f"q{time.monotonic()}", **{"X-Class": "fresh"}) == ACCEPTED:
                await asyncio.sleep(0.2)

    async def test_a_start_without_reachable_machines_serves_the_saved_scope_and_reports_its_age(self):
        calls = []
        other, address = await stand_in(lambda head, body: calls.append(head) or http(200))
        self.addCleanup(other.close)
        process = await self.begin(change(destination(7, address)))
        await self.applied(1)
        await self.stop(process)
        await self.server.close()
        process = await self.go()
        self.assertEqual(await self.hand_in("n"), ACCEPTED)
        await until(lambda: calls)
        age = await self.figure("control_age_seconds")
        await asyncio.sleep(1.0)
        self.assertGreater(await self.figure("control_age_seconds"), age + 0.9)
        self.assertEqual(await self.figure("control_version"), 1)
        await self.stop(process)
        saved = Path(self.folder, scope_file.NAME)
        saved.write_bytes(saved.read_bytes()[:-9])  # damaged: it is ignored completely
        await self.go()
        self.assertEqual(await self.hand_in("m"), UNAVAILABLE)
        self.assertEqual(await self.figure("control_age_seconds"), float("inf"))


def test_without_control_none_of_its_modules_is_imported(tmp_path):
    """Starts by the program's own entry point, up to a constructed relay."""
    path = config(str(tmp_path), "127.0.0.1:9")
    script = (
        "import asyncio, sys\n"
        "from ryestack.lifecycle.service import load, Relay\n"
        "async def main():\n"
        "    relay = Relay(load())\n"
        "    await relay.close()\n"
        "asyncio.run(main())\n"
        "print([name for name in sys.modules if 'control' in name.split('.')[1:2] or '.scope' in name])\n"
    )
    env = {**os.environ, "LB_CONFIG": path, "LB_STATE": str(tmp_path)}
    command = [sys.executable, "-c", script]
    found = subprocess.run(command, env=env, capture_output=True, text=True, check=True)
    assert found.stdout == "[]\n"
    assert scope_file.NAME not in os.listdir(tmp_path)


class Clock:
    now = 0.0

    def __call__(self):
        return self.now


def listed(update):
    return {endpoint.id: endpoint.status for endpoint in update.endpoints}


def test_an_endpoint_removed_from_its_destination_is_listed_as_gone():
    members = ScopedMembers(Clock())
    members.change([destination(7, "a:1", "b:1")], [], 1)
    delta = members.change([destination(7, "c:1")], [], 2)
    assert listed(delta) == {"0@7": EndpointStatus.READY, "1@7": EndpointStatus.GONE} and not delta.whole
    assert members.target("0@7") == ("c:1", 7)


def test_two_destinations_may_have_endpoints_of_the_same_name():
    members = ScopedMembers(Clock())
    update = members.change([destination(7, "a:1"), destination(8, "b:1")], [], 1)
    assert {endpoint.id: endpoint.destination for endpoint in update.endpoints} == {"0@7": 7, "0@8": 8}


def test_a_removed_destination_is_dropped_once_nothing_is_owed_and_not_if_it_returned():
    clock = Clock()
    members = ScopedMembers(clock)
    members.change([destination(7, "a:1"), destination(8, "a:1"), destination(9)], [], 1)
    assert not members.change([], ["destination/7", "destination/8", "destination/9"], 2).endpoints
    assert not any(map(members.has, (7, 8, 9))) and members.target("0@7") == ("a:1", 7)
    assert not members.remove_drained({7}).endpoints  # a notification may be on its way to the ledger
    clock.now = SETTLE_SECONDS
    assert listed(members.remove_drained({7})) == {"0@8": EndpointStatus.GONE}
    members.change([destination(7, "b:1")], [], 3)
    clock.now = 100.0
    assert not members.remove_drained(set()).endpoints and members.has(7) and not members.leaving


@pytest.mark.parametrize(
    "value",
    [b"", b"[]", b"3", b"{}", b'{"endpoints": 3}', b'{"endpoints": [3]}', b'{"endpoints": [{"name": "a"}]}',
     b"[" * 100000, destination(7, "").value, destination(7, "a:1", weight="x").value,
     destination(7, "a:1", "b:1", name="same").value, destination(7, "a:1", weight=1e999).value],
)  # fmt: skip
def test_an_unreadable_destination_gives_a_reason(value):
    with pytest.raises(BadEntry, match="."):
        read_destination(Entry("destination/7", 1, "eu/3", value))
