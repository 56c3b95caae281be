"""What a control machine answers to relays and to machines that follow it. Pure: requests and changes in,
answers out; a poll with nothing new is held until something is, or its time is up.

Changes that come together are told together, and what all relays get is told over a spread, so that they
neither ask nor apply in one moment.
"""

import random
from collections.abc import Hashable, Sequence
from functools import partial
from math import inf

import msgspec

from .assignment import SHARDS_PER_REGION
from .catalogue import BelowFloor, Catalogue, entry_bytes
from .held import HeldPoll, HeldPolls
from .messages import (
    ALL_SHARDS,
    MAX_BATCH_BYTES,
    MAX_FETCH_SHARDS,
    MAX_MESSAGE_BYTES,
    MAX_NAME_LENGTH,
    SHARED_SHARD,
    Answer,
    Delta,
    Entry,
    Fetch,
    Follow,
    Piece,
    Poll,
    Rejection,
    Request,
    Scope,
    TooOld,
    Unavailable,
)
from .scopes import Scopes

BATCH_WINDOW_SECONDS = 0.2  # between a change and its being told: what comes in it is told together
FOLLOWER_BATCH_WINDOW_SECONDS = 0.02  # the same for followers
WAKE_SPREAD_SECONDS = 2.0  # that a change of what all relays hold is told over
MAX_HOLD_SECONDS = 30.0
MAX_HELD_POLLS = 8192  # polls at once; above it all are answered without a wait
MAX_REPORTS = 20_000  # relays of which is known what they have applied; the longest silent make room
SESSION_TIMEOUT_SECONDS = 30.0  # of silence after which a lower session of a relay is taken
MAX_DELTA_BYTES = MAX_MESSAGE_BYTES // 2  # a version that is larger in one scope is fetched in pieces
MAX_SCOPE_BYTES = MAX_MESSAGE_BYTES * 3 // 4  # of the names of a relay's shards


class Refused(Exception):
    """A request that is answered to nobody: a foreign cluster, an older session, a bad form."""


class RelayReport(msgspec.Struct):
    """What a relay said in its last poll; heard_at: of the publisher's clock, seconds."""

    session: int
    region: str
    zone: str
    applied: int
    heard_at: float
    rejected: Rejection | None


class Publisher:
    """ready: False while the machine catches up after its start; it then answers Unavailable."""

    def __init__(
        self,
        cluster: str,
        catalogue: Catalogue,
        replicas: int,
        rng: random.Random,
        shards_per_region: int = SHARDS_PER_REGION,
    ) -> None:
        self.cluster, self.catalogue, self.ready = cluster, catalogue, True
        self.reports: dict[str, RelayReport] = {}  # by relay, the longest silent first
        self._new_scopes, self._rng = partial(Scopes, replicas, shards_per_region), rng
        self._relays, self._followers = HeldPolls(MAX_HELD_POLLS), HeldPolls(MAX_HELD_POLLS)
        self._superseded: list[Hashable] = []  # tokens of polls whose askers have polled anew
        self.scopes = self._new_scopes()
        self.load(catalogue)

    def load(self, catalogue: Catalogue) -> None:
        """Another catalogue holds, as after a snapshot; held polls are answered from it."""
        self.catalogue = catalogue
        self.scopes = self._new_scopes()
        for shard in catalogue.shards():
            self.scopes.note_changes(catalogue.live(shard), -inf)
        self.scopes.refresh(0.0)
        for polls in (self._relays, self._followers):
            for asker in polls.askers():
                polls.answer_by(asker, -inf)

    @property
    def wake_at(self) -> float:
        """When `due` has something to do next, inf if nothing waits."""
        if self._superseded:
            return -inf
        return min(self._relays.next_due(), self._followers.next_due(), self.scopes.due_at)

    def handle(self, request: Request, now: float, token: Hashable) -> Answer | None:
        """The answer, or None where the request is held under its token. Raises Refused."""
        if request.cluster != self.cluster:
            raise Refused(f"this is cluster {self.cluster}")
        if isinstance(request, Poll):
            return self._handle_poll(request, now, token)
        if isinstance(request, Follow):
            return self._handle_follow(request, now, token)
        return self._fetch(request)

    def apply(self, version: int, entries: Sequence[Entry], now: float) -> None:
        """Take changes into the catalogue and wake the polls that they concern.

        entries: in order of version, all above the catalogue's and `version` at most. Raises OutOfOrder.
        """
        touched = self.catalogue.apply(version, entries)
        self.scopes.note_changes(entries, now)
        for shard in touched:
            if shard == SHARED_SHARD:
                self._wake_all(now + BATCH_WINDOW_SECONDS)
            else:
                for relay in self.scopes.relays_of(shard):
                    self._relays.answer_by(relay, now + BATCH_WINDOW_SECONDS)
        for machine in self._followers.askers():
            self._followers.answer_by(machine, now + FOLLOWER_BATCH_WINDOW_SECONDS)

    def due(self, now: float) -> list[tuple[Hashable, Answer]]:
        """The answers whose time has come, each with the token of its request."""
        if self.scopes.refresh(now):
            self._wake_rescoped(now)
        superseded = Unavailable(self.catalogue.version, "a later poll of the same name came")
        answers: list[tuple[Hashable, Answer]] = [(token, superseded) for token in self._superseded]
        self._superseded = []
        for poll in self._relays.take_due(now):
            if self.scopes.due_at < inf:  # no version is confirmed before the scope is of it
                poll.due = self.scopes.due_at
                self._relays.hold(poll)
            else:
                answers.append((poll.token, self._answer_poll(poll.request)))
        for poll in self._followers.take_due(now):
            answers.append((poll.token, self._answer_follow(poll.request)))
        return answers

    def release(self, token: Hashable) -> None:
        """Whoever sent the request is gone."""
        self._relays.release(token)
        self._followers.release(token)

    def held(self) -> int:
        """How many polls wait."""
        return len(self._relays) + len(self._followers)

    def _handle_poll(self, poll: Poll, now: float, token: Hashable) -> Answer | None:
        if not 0 < len(poll.relay) <= MAX_NAME_LENGTH:
            raise Refused("a relay's name is missing or too long")
        self._report(poll, now)
        self._supersede(self._relays, poll.relay)
        self.scopes.refresh(now)
        answer = self._answer_poll(poll)
        waits = _is_empty(answer) and poll.hold > 0.0
        settled = self.scopes.due_at == inf or isinstance(answer, Unavailable)
        if self._relays.full() or (settled and not waits):
            return answer
        due = now + min(poll.hold, MAX_HOLD_SECONDS) if waits else self.scopes.due_at
        self._relays.hold(HeldPoll(poll.relay, token, poll, due))
        return None

    def _handle_follow(self, follow: Follow, now: float, token: Hashable) -> Answer | None:
        self._supersede(self._followers, follow.machine)
        answer = self._answer_follow(follow)
        if not _is_empty(answer) or answer.version > follow.version or not follow.hold > 0.0:
            return answer
        due = now + min(follow.hold, MAX_HOLD_SECONDS)
        self._followers.hold(HeldPoll(follow.machine, token, follow, due))
        return None

    def _supersede(self, polls: HeldPolls, asker: str) -> None:
        """One poll an asker: whoever polls anew has given the request before up, or is another process."""
        if before := polls.take(asker):
            self._superseded.append(before.token)

    def _report(self, poll: Poll, now: float) -> None:
        before = self.reports.pop(poll.relay, None)
        if before and poll.session < before.session and now < before.heard_at + SESSION_TIMEOUT_SECONDS:
            self.reports[poll.relay] = before
            raise Refused(f"session {poll.session} of {poll.relay} is older than {before.session}")
        self.reports[poll.relay] = RelayReport(
            poll.session, poll.region, poll.zone, poll.applied, now, poll.rejected
        )
        if len(self.reports) > MAX_REPORTS:
            del self.reports[next(iter(self.reports))]

    def _answer_poll(self, poll: Poll) -> Answer:
        if not self.ready:
            return Unavailable(self.catalogue.version, "it has not caught up")
        if self.catalogue.version < poll.version:
            return Unavailable(self.catalogue.version, f"it is behind {poll.version}")
        scope = self.scopes.of(poll.relay)
        if scope.digest != poll.scope:
            if sum(map(len, scope.shards)) > MAX_SCOPE_BYTES:
                return Unavailable(
                    self.catalogue.version, f"a scope of {len(scope.shards)} shards is too large"
                )
            return Scope(self.catalogue.version, list(scope.shards))
        return self._delta(scope.shards, poll.version)

    def _answer_follow(self, follow: Follow) -> Answer:
        if not self.ready or self.catalogue.version < follow.version:
            return Unavailable(self.catalogue.version, "it is behind, or has not caught up")
        return self._delta([ALL_SHARDS], follow.version)

    def _delta(self, shards: Sequence[str], since: int) -> Delta | TooOld:
        try:
            changes = self.catalogue.delta(shards, since, MAX_BATCH_BYTES)
        except BelowFloor:
            return TooOld(self.catalogue.floor)
        if sum(map(entry_bytes, changes.entries)) > MAX_DELTA_BYTES:
            return TooOld(self.catalogue.version)
        target = self.catalogue.version
        return Delta(since, changes.version, changes.entries, target, not changes.complete)

    def _fetch(self, fetch: Fetch) -> Piece | Unavailable:
        if not 0 < len(fetch.shards) <= MAX_FETCH_SHARDS:
            raise Refused(f"a fetch of {len(fetch.shards)} shards: 1 to {MAX_FETCH_SHARDS} are allowed")
        if ALL_SHARDS in fetch.shards and len(fetch.shards) > 1:
            raise Refused(f"{ALL_SHARDS} has to be fetched alone")
        if not self.ready:
            return Unavailable(self.catalogue.version, "it has not caught up")
        part = self.catalogue.piece(fetch.shards, fetch.after, MAX_BATCH_BYTES)
        return Piece(part.shard, self.catalogue.version, part.entries, part.done)

    def _wake_all(self, start: float) -> None:
        """Each within the spread; one that is due in it stays, else a burst would end the spread."""
        for poll in self._relays.polls():
            if poll.due > start + WAKE_SPREAD_SECONDS:
                self._relays.answer_by(poll.asker, start + self._rng.uniform(0.0, WAKE_SPREAD_SECONDS))

    def _wake_rescoped(self, now: float) -> None:
        """Polls of relays whose scope is another one now; many may be, so they are spread."""
        for poll in self._relays.polls():
            if self.scopes.of(poll.asker).digest != poll.request.scope:
                self._relays.answer_by(poll.asker, now + self._rng.uniform(0.0, WAKE_SPREAD_SECONDS))


def _is_empty(answer: Answer) -> bool:
    return isinstance(answer, Delta) and not answer.entries and not answer.more
