"""A control machine's answers to relays and to machines without a vote. Pure: requests and changes go in,
answers come out. A poll is held until there is something new or its hold time has passed.

Changes within a short window are sent together. Changes for all relays are sent at randomized times, so that
relays neither poll nor apply them all at once.
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

BATCH_WINDOW_SECONDS = 0.2  # from a change until it is sent, with all changes made meanwhile
FOLLOWER_BATCH_WINDOW_SECONDS = 0.02  # the same for machines without a vote
WAKE_SPREAD_SECONDS = 2.0  # over which polls are woken by a change for all relays
MAX_HOLD_SECONDS = 30.0
MAX_HELD_POLLS = 8192  # above it, polls are answered at once
MAX_REPORTS = 20_000  # relays with a stored report; the one silent longest is evicted
SESSION_TIMEOUT_SECONDS = 30.0  # without polls, after which a lower session is accepted
MAX_DELTA_BYTES = MAX_MESSAGE_BYTES // 2  # a larger change has to be fetched in pieces
MAX_SCOPE_BYTES = MAX_MESSAGE_BYTES * 3 // 4  # total length of the names of a relay's shards


class Refused(Exception):
    """The request is invalid: another cluster, an older session, or a malformed field."""


class RelayReport(msgspec.Struct):
    """What a relay reported in its last poll; heard_at: when, in seconds of the publisher's clock."""

    session: int
    region: str
    zone: str
    applied: int
    heard_at: float
    rejected: Rejection | None


class Publisher:
    """ready: False while the machine catches up after its start; all answers are then Unavailable."""

    def __init__(
        self,
        cluster: str,
        catalogue: Catalogue,
        replicas: int,
        rng: random.Random,
        shards_per_region: int = SHARDS_PER_REGION,
    ) -> None:
        self.cluster, self.catalogue, self.ready = cluster, catalogue, True
        self.reports: dict[str, RelayReport] = {}  # by relay, least recently updated first
        self._new_scopes, self._rng = partial(Scopes, replicas, shards_per_region), rng
        self._relays, self._followers = HeldPolls(MAX_HELD_POLLS), HeldPolls(MAX_HELD_POLLS)
        self._superseded: list[Hashable] = []  # tokens of polls replaced by a newer poll
        self.scopes = self._new_scopes()
        self.load(catalogue)

    def load(self, catalogue: Catalogue) -> None:
        """Replaces the catalogue, as after a snapshot; held polls are answered from the new one."""
        self.catalogue = catalogue
        self.scopes = self._new_scopes()
        for shard in catalogue.shards():
            self.scopes.note_changes(catalogue.live(shard), -inf)
        self.scopes.refresh(0.0)
        for polls in (self._relays, self._followers):
            for requester in polls.requesters():
                polls.answer_by(requester, -inf)

    @property
    def wake_at(self) -> float:
        """When `due` has to be called next, inf if nothing is pending."""
        if self._superseded:
            return -inf
        return min(self._relays.next_due(), self._followers.next_due(), self.scopes.due_at)

    def handle(self, request: Request, now: float, token: Hashable) -> Answer | None:
        """The answer, or None if the request is held under its token. Raises Refused."""
        if request.cluster != self.cluster:
            raise Refused(f"this is cluster {self.cluster}")
        if isinstance(request, Poll):
            return self._handle_poll(request, now, token)
        if isinstance(request, Follow):
            return self._handle_follow(request, now, token)
        return self._fetch(request)

    def apply(self, version: int, entries: Sequence[Entry], now: float) -> None:
        """Applies changes to the catalogue and schedules the answers to the polls they affect.

        entries: in version order, above the catalogue's version and up to `version`. Raises OutOfOrder.
        """
        touched = self.catalogue.apply(version, entries)
        self.scopes.note_changes(entries, now)
        for shard in touched:
            if shard == SHARED_SHARD:
                self._wake_all(now + BATCH_WINDOW_SECONDS)
            else:
                for relay in self.scopes.relays_of(shard):
                    self._relays.answer_by(relay, now + BATCH_WINDOW_SECONDS)
        for machine in self._followers.requesters():
            self._followers.answer_by(machine, now + FOLLOWER_BATCH_WINDOW_SECONDS)

    def due(self, now: float) -> list[tuple[Hashable, Answer]]:
        """The answers that are due, each with the token of its request."""
        if self.scopes.refresh(now):
            self._wake_rescoped(now)
        superseded = Unavailable(self.catalogue.version, "a later poll of the same name came")
        answers: list[tuple[Hashable, Answer]] = [(token, superseded) for token in self._superseded]
        self._superseded = []
        for poll in self._relays.take_due(now):
            if self.scopes.due_at < inf:  # the scope has to be computed for the version first
                poll.due = self.scopes.due_at
                self._relays.hold(poll)
            else:
                answers.append((poll.token, self._answer_poll(poll.request)))
        for poll in self._followers.take_due(now):
            answers.append((poll.token, self._answer_follow(poll.request)))
        return answers

    def release(self, token: Hashable) -> None:
        """Drops the request: its sender has disconnected."""
        self._relays.release(token)
        self._followers.release(token)

    def held(self) -> int:
        """The number of held polls."""
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

    def _supersede(self, polls: HeldPolls, requester: str) -> None:
        """One poll per requester: a new one means that it abandoned the last, or is another process."""
        if before := polls.take(requester):
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
        """Wakes all at random times. Polls already due in the spread stay, or bursts would defeat it."""
        for poll in self._relays.polls():
            if poll.due > start + WAKE_SPREAD_SECONDS:
                self._relays.answer_by(poll.requester, start + self._rng.uniform(0.0, WAKE_SPREAD_SECONDS))

    def _wake_rescoped(self, now: float) -> None:
        """Wakes polls of relays whose scope changed, at random times as there may be many."""
        for poll in self._relays.polls():
            if self.scopes.of(poll.requester).digest != poll.request.scope:
                self._relays.answer_by(poll.requester, now + self._rng.uniform(0.0, WAKE_SPREAD_SECONDS))


def _is_empty(answer: Answer) -> bool:
    return isinstance(answer, Delta) and not answer.entries and not answer.more
