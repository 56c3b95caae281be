"""A voter in the test process: a full disk, a failed fsync, changes that share an fsync."""

import asyncio
import errno
import os
import subprocess
import sys
import threading
import time

import pytest

from ryestack.control.change_log import DiskBlocked, Unconfirmed
from ryestack.control.changes import Change, encode
from ryestack.control.machine import ControlMachine
from ryestack.control.messages import Poll, Scope
from ryestack.control.order import Machine
from ryestack.control.scopes import Scopes
from ryestack.lab.ports import free_port

from .control_machines import ROOT


def lone_voter(folder) -> ControlMachine:
    place = Machine("v", f"127.0.0.1:{free_port()}")
    return ControlMachine("c", "v", [place], ["v"], folder, 1.0, 2, time.monotonic)


async def propose(machine: ControlMachine, key: str) -> int:
    return await machine.change_log.propose(encode([Change(key, b"{}")]))


async def running(machine: ControlMachine, work) -> None:
    """Runs the machine until work(machine) returns. Raises errors of both."""
    machine.bind()
    stop = asyncio.Event()
    task = asyncio.ensure_future(machine.run(stop))
    try:
        async with asyncio.timeout(60):
            while not machine.is_leader() or not machine.status()["version"]:
                await asyncio.sleep(0.02)
            await work(machine)
            stop.set()
            await task
    finally:
        task.cancel()
        await machine.close()


def keys_in(folder) -> set[str]:
    """The keys that a machine started on the folder has once it is the leader."""
    found = set()

    async def read_keys(machine):
        found.update(entry.key for entry in machine._publisher.catalogue.live("*"))

    async def scenario():
        await running(lone_voter(folder), read_keys)

    asyncio.run(scenario())
    return found


def test_a_full_disk_refuses_changes_loses_none_and_recovers(tmp_path, monkeypatch):
    async def fill(machine):
        await propose(machine, "setting/before")
        write = os.pwrite

        def full(descriptor, data, offset):
            raise OSError(errno.ENOSPC, "No space left on device")

        monkeypatch.setattr(os, "pwrite", full)
        with pytest.raises(Unconfirmed, match="disk is full"):
            await propose(machine, "setting/meanwhile")
        with pytest.raises(DiskBlocked, match="No space left"):
            await propose(machine, "setting/refused")
        assert "No space left" in machine.status()["disk"]
        monkeypatch.setattr(os, "pwrite", write)
        while machine.change_log.blocked:
            await asyncio.sleep(0.02)
        await propose(machine, "setting/after")

    async def scenario():
        await running(lone_voter(tmp_path), fill)

    asyncio.run(scenario())
    assert keys_in(tmp_path) == {"setting/before", "setting/meanwhile", "setting/after"}


def test_a_failed_fsync_ends_the_machine_and_acknowledges_nothing(tmp_path, monkeypatch):
    async def lose(machine):
        def fsync(descriptor):
            raise OSError(errno.EIO, "Input/output error")

        monkeypatch.setattr(os, "fsync", fsync)
        started_at = time.monotonic()
        with pytest.raises(Unconfirmed, match="the machine ends"):
            await propose(machine, "setting/lost")
        assert time.monotonic() - started_at < 3.0

    async def scenario():
        await running(lone_voter(tmp_path), lose)

    with pytest.raises(OSError, match="Input/output"):
        asyncio.run(scenario())


def test_concurrent_changes_share_an_fsync(tmp_path, monkeypatch):
    syncs = []
    fsync = os.fsync
    monkeypatch.setattr(os, "fsync", lambda descriptor: (syncs.append(descriptor), fsync(descriptor)))

    async def many(machine):
        before = len(syncs)
        versions = await asyncio.gather(*(propose(machine, f"setting/s{n}") for n in range(50)))
        assert len(set(versions)) == 50 and len(syncs) - before <= 3

    async def scenario():
        await running(lone_voter(tmp_path), many)

    asyncio.run(scenario())


def test_a_slow_assignment_does_not_delay_changes(tmp_path, monkeypatch):
    refresh, taken = Scopes.refresh, []

    def slow(self, now):
        if now >= self.due_at and now > 0.0:
            taken.append(threading.current_thread() is not threading.main_thread())
            time.sleep(2.0)
        return refresh(self, now)

    monkeypatch.setattr(Scopes, "refresh", slow)

    async def change(machine):
        await machine.change_log.propose(encode([Change("relay/r", b'{"region":"eu","zone":"z"}')]))
        while not taken:
            await asyncio.sleep(0.02)
        started_at = time.monotonic()
        version = await propose(machine, "setting/meanwhile")
        poll = Poll("c", "r", 1, "eu", "z", 0, "", 0.0)
        cancelled_poll = asyncio.ensure_future(machine.polls.answer(poll))
        await asyncio.sleep(0.1)
        cancelled_poll.cancel()  # must not release the publisher's lock early
        assert time.monotonic() - started_at < 1.0
        answer = await machine.polls.answer(poll)
        assert isinstance(answer, Scope) and answer.version <= version and len(answer.shards) == 8193
        assert taken == [True] and machine.is_leader()

    async def scenario():
        await running(lone_voter(tmp_path), change)

    asyncio.run(scenario())


def test_a_relay_without_control_imports_no_control_module():
    code = "import sys, ryestack.lifecycle.service; print([m for m in sys.modules if '.control' in m])"
    result = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True, timeout=60
    )
    assert result.stdout.strip() == "[]"
