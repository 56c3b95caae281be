"""One control machine: a voter or follower, its publisher, its HTTP server and its reports to the leader."""

import asyncio
import random
from collections.abc import Callable
from math import inf
from pathlib import Path

import msgspec

from ..observe.log import event
from .catalogue import Catalogue
from .catalogue_codec import read_catalogue
from .change_log import ChangeLog
from .changes import DESTINATION
from .consensus import NoQuorum, NotLeader, Replica
from .endpoints import REPORTS_PATH, Endpoints
from .follower import Follower
from .machine_client import CONNECTION_ERRORS, RequestFailed, new_session, post
from .order import Machine as MachineAddress
from .polls import Polls
from .publisher import Publisher
from .server import ControlServer
from .status import Report, Reports, encode_report, states_of
from .storage import Storage
from .storage_errors import BadStorage
from .transport import Transport

REPORT_INTERVAL_SECONDS = 1.0  # between two reports to the leader
STALE_AFTER_SECONDS = 5.0  # without contact to a leader, until the machine counts as stale


class ControlMachine:
    """A control machine.

    machines: all machines of the cluster; name: of this machine; voters: names of the machines with a vote;
    folder: a voter's state; hold, replicas: as in [control]. Must be created in a running event loop. Raises
    BadStorage or OSError.
    """

    def __init__(
        self,
        cluster: str,
        name: str,
        machines: list[MachineAddress],
        voters: list[str],
        folder: Path,
        hold: float,
        replicas: int,
        clock: Callable[[], float],
    ):
        self.cluster, self.name, self.voters, self._clock = cluster, name, tuple(voters), clock
        self._machines = {place.name: place for place in machines}
        self._hold = hold
        self._rng = random.Random()
        self._reports = Reports(self._machines)
        self._leader_address = ""  # last known; used by machines without a vote
        self._leader_seen_at = -inf
        self._storage = Storage(folder, cluster, name) if name in voters else None
        catalogue, persisted = self._load()
        self._publisher = Publisher(cluster, catalogue, replicas, self._rng)
        self._publisher.ready = catalogue.version > 0
        self.polls = Polls(self._publisher, clock, self._stale)
        self._session = new_session()
        self.change_log = self._make_change_log(persisted) if self._storage else None
        self.follower = None if self._storage else self._make_follower()
        host, _, port = self._machines[name].address.rpartition(":")
        self._server = ControlServer((host, int(port)), Endpoints(self).routes())

    def bind(self) -> None:
        """Binds the server's socket. Raises OSError if the address is in use."""
        self._server.bind()

    async def run(self, stop: asyncio.Event) -> None:
        """Runs until `stop` is set. Raises OSError or BadStorage if the disk fails."""
        await self._server.open()
        event("machine.open", machine=self.name, address=self._machines[self.name].address)
        work = self.change_log or self.follower
        tasks = [
            asyncio.ensure_future(coroutine) for coroutine in (work.run(), self._send_reports(), stop.wait())
        ]
        try:
            done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            for task in done:
                task.result()
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def close(self) -> None:
        """Closes the server, all connections and the state folder."""
        self.polls.close()
        await self._server.close()
        if self.change_log:
            await self._transport.close()
            self.change_log.close()
        await self._session.close()
        if self._storage:
            self._storage.close()

    def is_leader(self) -> bool:
        """Whether this machine is the Raft leader."""
        return bool(self.change_log and self.change_log.replica.leadership)

    def leader(self) -> tuple[str, str]:
        """Name and address of the machine that accepts changes, "" if it is not known."""
        if not self.change_log:
            return "", self._leader_address
        try:
            self.change_log.replica.check_leader(self._clock())
        except NotLeader as other:
            return other.leader, self._machines[other.leader].address
        except NoQuorum:
            return "", ""
        return self.name, self._machines[self.name].address

    def take_report(self, report: Report) -> bool:
        """Stores a machine's report; returns False if its cluster or machine is not this cluster's."""
        return report.cluster == self.cluster and self._reports.take(report, self._clock())

    def status(self) -> dict:
        """The body of GET /control/status; the leader includes the relays of all machines."""
        now, version = self._clock(), self._publisher.catalogue.version
        self._reports.take(self._own_report(now), now)
        leader, address = self.leader()
        state = self.change_log.replica.state if self.change_log else None
        relays = self._reports.status(self._publisher.scopes.members(), version, now)
        return {
            "cluster": self.cluster,
            "machine": self.name,
            "role": state.role.value if state else "observer",
            "leader": leader,
            "leader_address": address,
            "term": state.term if state else 0,
            "version": version,
            "commit": state.commit if state else 0,
            "stale": self._stale(),
            "disk": self.change_log.blocked if self.change_log else "",
            "held": self._publisher.held(),
            "machines": self._reports.versions(now),
            **msgspec.to_builtins(relays),
        }

    def destination(self, number: str) -> dict | None:
        """The relays that serve a destination; None if there is no such destination."""
        entry = self._publisher.catalogue.get(DESTINATION + number)
        if entry is None or entry.value is None:
            return None
        relays = sorted(self._publisher.scopes.relays_of(entry.shard))
        return {"key": entry.key, "version": entry.version, "shard": entry.shard, "relays": relays}

    def _load(self) -> tuple[Catalogue, object]:
        if not self._storage:
            return Catalogue(), None
        try:
            persisted = self._storage.load()
            return read_catalogue(self._storage.read_snapshot()), persisted
        except msgspec.MsgspecError as error:
            raise BadStorage(f"{self._storage.snapshot_path}: is not readable: {error}") from None

    def _make_change_log(self, persisted) -> ChangeLog:
        others = {name: self._machines[name].address for name in self.voters if name != self.name}
        self._transport = Transport(others, self._session)
        replica = Replica(
            self.cluster,
            self.name,
            self.voters,
            persisted,
            self._rng,
            self._storage.read_piece,
            self._clock(),
        )
        return ChangeLog(replica, self._storage, self._transport, self._publisher, self.polls, self._clock)

    def _make_follower(self) -> Follower:
        return Follower(
            self._machines[self.name],
            self.cluster,
            [self._machines[name] for name in self.voters],
            self.polls,
            self._session,
            self._hold,
            self._clock,
            self._rng,
        )

    def _stale(self) -> str:
        """Why this machine may be behind all others, or ""."""
        now = self._clock()
        if self.follower:
            if now - self.follower.confirmed_at < STALE_AFTER_SECONDS + self._hold:
                return ""
            return "it reaches no machine that is up to date"
        if self.leader()[0]:
            self._leader_seen_at = now
        return (
            ""
            if now - self._leader_seen_at < STALE_AFTER_SECONDS
            else "no majority of the voters is in reach"
        )

    def _own_report(self, now: float) -> Report:
        version = self._publisher.catalogue.version
        return Report(self.cluster, self.name, version, states_of(self._publisher.reports, now))

    async def _send_reports(self) -> None:
        """Periodically reports to the leader which relays poll this machine."""
        voters = [self._machines[name].address for name in self.voters]
        while True:
            await asyncio.sleep(REPORT_INTERVAL_SECONDS)
            if self._stale() or self.is_leader():
                continue
            address = self.leader()[1] or self._rng.choice(voters)
            body = encode_report(self._own_report(self._clock()))
            try:
                await post(self._session, address, REPORTS_PATH, body, 2.0 * REPORT_INTERVAL_SECONDS)
                self._leader_address = address
            except RequestFailed as refusal:
                self._leader_address = refusal.address
            except CONNECTION_ERRORS:
                self._leader_address = ""
