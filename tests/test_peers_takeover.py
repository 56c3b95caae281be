"""Take-over of a notification while its former owner may still have a push in flight."""

import asyncio
import random
from types import SimpleNamespace

from ryestack import interface
from ryestack.lifecycle.replication import record_codec
from ryestack.lifecycle.replication.replicated import ReplicatedWork
from ryestack.peers.node import ClusterConfig, Node
from ryestack.peers.shard import Shard
from ryestack.store.ledger import Ledger
from ryestack.store.owed import Owed

from .helpers import settings


def replicated(clock):
    adopted, ledger = [], Ledger(None)
    owner = SimpleNamespace(clock=clock, wall=1000.0, ledger=ledger, settings=settings())
    owner.adopt, owner.pause = lambda owed: adopted.extend(o.id for o in owed), lambda names: None
    node = Node(ClusterConfig("c", "r0", {"r0": "a"}, 0, 1.0), 1, True, random.Random(1), clock())
    lives = SimpleNamespace(unfinished=[], forget=lambda finished: None)
    return ReplicatedWork(owner, node, lambda *_: None, "serve", lives), adopted


def test_a_notification_with_a_push_in_flight_waits_until_its_owner_gives_the_push_up():
    async def play():
        loop = asyncio.get_running_loop()
        work, adopted = replicated(loop.time)
        wall = loop.time() + 1000.0
        shard = Shard(("r9", 1), ("r0",), "r0", 1.0, random.Random(1), 0.0)
        shard.state, shard.acting = "leader", True
        for name, until in (("out", wall + 0.3), ("over", wall - 1.0), ("ended", wall + 9.0)):
            owed = Owed(name, wall + 20.0, 7, "again", "", "", "", b"x")
            shard.contents.apply([
                record_codec.encode_taken(owed), record_codec.encode_push(owed, 0, wall - 2.0, until)
            ])
        ended = Owed("ended", wall + 20.0, 7, "again", "", "", "", b"x")
        shard.contents.apply([record_codec.encode_outcome(ended, 0, True)])
        work.on_acts(shard)
        at_once = list(adopted)
        assert work.owner.ledger.owed["out"].open_pushes and work.owner.ledger.owed["out"].pushes == 1
        await asyncio.sleep(0.2)
        before = list(adopted)
        await asyncio.sleep(0.2)
        return at_once, before, adopted

    at_once, before, after = asyncio.run(play())
    assert sorted(at_once) == sorted(before) == ["ended", "over"] and after[-1] == "out" and len(after) == 3


def test_nothing_is_resumed_if_the_shard_is_lost_meanwhile():
    async def play():
        loop = asyncio.get_running_loop()
        work, adopted = replicated(loop.time)
        wall = loop.time() + 1000.0
        shard = Shard(("r9", 1), ("r0",), "r0", 1.0, random.Random(1), 0.0)
        shard.state, shard.acting = "leader", True
        owed = Owed("out", wall + 20.0, 7, "again", "", "", "", b"x")
        shard.contents.apply([
            record_codec.encode_taken(owed), record_codec.encode_push(owed, 0, wall, wall + 0.1)
        ])
        work.on_acts(shard)
        work.on_lost(shard)
        await asyncio.sleep(0.2)
        return adopted, dict(work.owner.ledger.owed)

    assert asyncio.run(play()) == ([], {})


def test_the_effect_of_a_repeat_without_known_terms_is_once_only():
    owed = Owed("n", 1.0, 7, "no such topic", "", "", "", b"x")
    assert owed.effect(settings()) is interface.Effect.ONCE_ONLY
