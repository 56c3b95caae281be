"""Promises that wait for replicas: each row of the table, and a relay that reaches no replica."""

import asyncio
import itertools

import aiohttp
import pytest

from ryestack.lab.peers import Cluster
from ryestack.peers import promises


def test_every_promise_has_an_action_for_every_result():
    for what, result, alone in itertools.product(
        ("hand-in", "push", "notice"), ("covered", "late"), ("serve", "refuse")
    ):
        assert promises.action_for(what, result, alone)
    assert all(action != "take" or result == "covered" for (_, result, _), action in promises.TABLE.items())


@pytest.mark.parametrize("alone, status", [("serve", 202), ("refuse", 503)])
def test_a_relay_that_reaches_no_replica_serves_uncovered_or_refuses(tmp_path, alone, status):
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
            async with session, session.post(f"http://{address}/api", data=b"x", headers=headers) as response:
                return response.status, response.headers.get("Retry-After")
        finally:
            await cluster.close()

    found, retry_after = asyncio.run(play())
    assert found == status and (retry_after is not None) == (status == 503)
