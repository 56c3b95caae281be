"""The HTTP handlers of a control machine; every error is mapped to a status code."""

import msgspec

from . import changes, consensus_messages, messages, status
from .change_log import DiskBlocked, Unconfirmed
from .changes import BadChange
from .consensus import Misdirected, NoQuorum, NotLeader, Overloaded
from .machine_client import Refusal
from .messages import BadMessage
from .publisher import Refused
from .server import Response, Route

CHANGES_PATH, REPORTS_PATH = "/control/changes", "/control/reports"
STATUS_PATH, DESTINATION_PATH = "/control/status", "/control/destination/"
MSGPACK = "application/msgpack"


class Endpoints:
    """machine: the `machine.ControlMachine` that holds the state and makes the decisions."""

    def __init__(self, machine):
        self._machine = machine

    def routes(self) -> list[Route]:
        """The routes to serve; consensus messages are accepted by voters only."""
        routes = [
            Route("POST", messages.PATH, messages.MAX_MESSAGE_BYTES, self.poll),
            Route("POST", CHANGES_PATH, changes.MAX_BODY_BYTES, self.change),
            Route("POST", REPORTS_PATH, messages.MAX_MESSAGE_BYTES, self.report),
            Route("GET", STATUS_PATH, 0, self.status),
            Route("GET", DESTINATION_PATH, 0, self.destination),
        ]
        if self._machine.change_log:
            limit = consensus_messages.MAX_BODY_BYTES
            routes.append(Route("POST", "/consensus", limit, self.consensus))
        return routes

    async def poll(self, body: bytes, _: str) -> Response:
        """A request of a relay or of a machine without a vote; it may be held."""
        try:
            answer = await self._machine.polls.answer(messages.decode_request(body))
        except BadMessage:
            return _text(400, "not a valid message")
        except Refused as why:
            return _text(409, str(why))
        return Response(200, messages.encode(answer), MSGPACK)

    async def consensus(self, body: bytes, _: str) -> Response:
        """Consensus messages of another voter."""
        try:
            self._machine.change_log.receive(consensus_messages.decode(body))
        except BadMessage:
            return _text(400, "not a valid message")
        except Misdirected as why:
            return _text(409, str(why))
        except DiskBlocked as why:
            return _text(503, str(why))
        return Response(200, b"", MSGPACK)

    async def change(self, body: bytes, _: str) -> Response:
        """Changes by operators; answered once a majority has them on disk."""
        try:
            payload = changes.encode(changes.read_body(body))
        except BadChange as fault:
            return _text(400, str(fault))
        if not self._machine.change_log:
            return self._refusal("this machine has no vote")
        try:
            version = await self._machine.change_log.propose(payload)
        except (NotLeader, NoQuorum, Overloaded, DiskBlocked, Unconfirmed) as why:
            return self._refusal(str(why))
        return _json(200, {"version": version})

    async def report(self, body: bytes, _: str) -> Response:
        """Another machine's report on its relays; only the leader accepts it."""
        try:
            report = status.decode_report(body)
        except BadMessage:
            return _text(400, "not a valid message")
        if not self._machine.is_leader():
            return self._refusal("another machine leads, or none")
        if not self._machine.take_report(report):
            return _text(409, "is of another cluster or machine")
        return _json(200, {})

    async def status(self, _: bytes, __: str) -> Response:
        """The status of this machine and of all relays."""
        return _json(200, self._machine.status())

    async def destination(self, _: bytes, number: str) -> Response:
        """The relays that serve a destination."""
        assigned = self._machine.destination(number)
        return (
            _json(200, assigned)
            if assigned
            else _text(404, f"there is no {changes.DESTINATION}{number[:32]}")
        )

    def _refusal(self, reason: str) -> Response:
        return _json(503, Refusal(reason, *self._machine.leader()))


def _json(code: int, value) -> Response:
    return Response(code, msgspec.json.encode(value) + b"\n")


def _text(code: int, line: str) -> Response:
    return Response(code, line.encode(errors="replace") + b"\n", "text/plain")
