"""What waits for guards: each row of the table, and a cluster that is told to refuse while it is alone."""

import asyncio
import itertools

import aiohttp
import pytest

from ryestack.lab.peers import Cluster
from ryestack.peers import promises


def test_every_promise_has_an_end_for_every_way_its_cover_comes():
    for what, how, alone in itertools.product(
        ("hand-in", "push", "notice"), ("covered", "late"), ("serve", "refuse")
    ):
        assert promises.action_for(what, how, alone)
    assert all(do != "take" or how == "covered" for (_, how, _), do in promises.TABLE.items())


@pytest.mark.parametrize("alone, status", [("serve", 202), ("refuse", 503)])
def test_one_that_reaches_no_guard_serves_uncovered_or_refuses_with_a_time(tmp_path, alone, status):
    async def play():
        cluster = Cluster(tmp_path, 3, 3, alone)
        try:
            await cluster.start()
            cluster.net.turn("refuse")
            await asyncio.sleep(2.5)
            headers = {
                "X-Request-Id": "n1",
                "X-Class": "balance",
                "X-Deadline": "5000m",
                "X-Envelope": "dest=1",
                "X-Tenant": "acme",
            }
            address = cluster.relays["r0"].address
            session = aiohttp.ClientSession()
            async with session, session.post(f"http://{address}/api", data=b"x", headers=headers) as said:
                return said.status, said.headers.get("Retry-After")
        finally:
            await cluster.close()

    found, away = asyncio.run(play())
    assert found == status and (away is not None) == (status == 503)
