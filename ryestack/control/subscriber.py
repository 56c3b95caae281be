"""A relay's subscription to its scope. Pure: answers and the time go in, requests and updates come out.

One request is outstanding at a time; answers to earlier requests are ignored. `step` returns the next action,
`TABLE` in `subscription` defines the transitions. The caller applies an update as a whole and then calls
`commit`, or calls `reject`.
"""

from collections.abc import Sequence
from math import inf
from random import Random

from .holdings import Holdings, HoldingsSnapshot, Update
from .messages import (
    MAX_NAME_LENGTH,
    Answer,
    Delta,
    Fetch,
    Piece,
    Poll,
    Rejection,
    Scope,
    TooOld,
)
from .order import Failover, Machine, machine_order
from .staging import MAX_STAGED_BYTES, BadAnswer, Staging, TooLarge
from .subscription import TABLE, Identity, Input, PendingRequest, State

MIN_HOLD_FRACTION = 0.8  # of the configured hold; the rest is randomized
START_SPREAD_SECONDS = 0.3  # over which the first polls of relays that start together are spread
OVERSIZE_RETRY_SECONDS = 60.0  # until a scope that was too large is requested again


class Subscriber:
    """Subscribes to the scope of one relay, with failover between control machines.

    wake_at: when `step` next has an action if no answer arrives; confirmed_at: when a machine last confirmed
    that the version in force is the newest, -inf if none has; rejected: the version currently rejected.
    """

    def __init__(
        self,
        identity: Identity,
        machines: Sequence[Machine],
        hold: float,
        rng: Random,
        now: float,
        snapshot: HoldingsSnapshot | None = None,
        limit_bytes: int = MAX_STAGED_BYTES,
    ) -> None:
        if not 0 < len(identity.relay) <= MAX_NAME_LENGTH:
            raise ValueError(f"a relay's name has 1 to {MAX_NAME_LENGTH} characters")
        self.identity, self._hold, self._rng, self._limit = identity, hold, rng, limit_bytes
        self._failover = Failover(machine_order(identity.relay, identity.region, machines), rng)
        self.holdings = Holdings(snapshot)
        self._staging = Staging(self.holdings, limit_bytes)
        self.state, self.confirmed_at = State.WAITING, -inf
        self.wake_at = now + (rng.uniform(0.0, START_SPREAD_SECONDS) if snapshot else 0.0)
        self.rejected: Rejection | None = None
        self._number, self._earliest_poll_at = 0, now
        self._outstanding: PendingRequest | None = None
        self._update: Update | None = None

    def step(self, now: float) -> PendingRequest | Update | None:
        """The action to take now: send a request, apply an update, or None until `wake_at` or an answer."""
        if self.state is State.WAITING and now >= self.wake_at:
            self._transition(Input.DUE, now)
            return self._outstanding
        return self._update

    def handle_answer(self, number: int, answer: Answer, now: float) -> Input | None:
        """Handles the answer to the request with that number and returns the resulting input.

        Returns None and changes nothing if that request is not outstanding.
        """
        if self.state is not State.ASKING or number != self._outstanding.number:
            return None
        trigger = self._classify(answer)
        self._transition(trigger, now)
        return trigger

    def failed(self, number: int, now: float) -> None:
        """The request with that number got no answer, or one that cannot be decoded."""
        if self.state is State.ASKING and number == self._outstanding.number:
            self._transition(Input.FAILED, now)

    def commit(self, now: float) -> None:
        """The update returned by `step` is in force."""
        self._transition(Input.COMMITTED, now)

    def reject(self, key: str, reason: str, now: float) -> None:
        """The update cannot be applied because of the value of that key; the version in force stays."""
        self.rejected = Rejection(self._update.version, key, reason)
        self._transition(Input.REJECTED, now)

    def age(self, now: float) -> float:
        """Seconds since the version in force was last confirmed as the newest, inf if it never was."""
        return now - self.confirmed_at

    @property
    def machine(self) -> Machine:
        """The control machine that is currently used."""
        return self._failover.machine

    def _transition(self, trigger: Input, now: float) -> None:
        self.state, effect = TABLE[self.state, trigger]
        getattr(self, effect)(now)

    def _classify(self, answer: Answer) -> Input:
        staging, asked = self._staging, self._outstanding.request
        try:
            if isinstance(answer, Piece) and isinstance(asked, Fetch):
                staging.add_piece(asked.shards, answer)
                return Input.CHANGED if staging.complete() else Input.MORE
            if isinstance(asked, Fetch):
                return Input.FAILED
            if isinstance(answer, Scope) and answer.shards and set(answer.shards) != staging.shards:
                staging.retarget(answer.shards)
                return Input.CHANGED if staging.complete() else Input.MORE
            if isinstance(answer, TooOld) and staging.shards:
                staging.refetch()
                return Input.MORE
            if isinstance(answer, Delta):
                staging.add_delta(answer)
                return self._read_delta(answer.more)
            return Input.FAILED
        except BadAnswer:
            return Input.FAILED
        except TooLarge as error:
            reason = f"the scope takes more than {self._limit} bytes"
            self.rejected = Rejection(self._staging.need, str(error), reason)
            return Input.OVERSIZE

    def _read_delta(self, more: bool) -> Input:
        if more:
            return Input.MORE
        if not self._staging.complete():
            return Input.BEHIND
        return Input.CHANGED if self._staging.differs() else Input.CURRENT

    # -- effects ----------------------------------------------------------------------------------

    def _send_request(self, now: float) -> None:
        machine = self._failover.choose(now)
        shards = self._staging.wanted()
        request = self._fetch(shards) if shards else self._poll()
        hold = request.hold if isinstance(request, Poll) else 0.0
        self._number += 1
        self._outstanding = PendingRequest(
            self._number, machine, request, hold + self._failover.answer_timeout()
        )
        # Limits the rate of polls to a machine that is at its limit of held polls and answers at once.
        self._earliest_poll_at = now + hold / 2.0
        self.wake_at = inf

    def _fetch(self, shards: list[str]) -> Fetch:
        return Fetch(self.identity.cluster, self.identity.relay, shards, self._staging.after)

    def _poll(self) -> Poll:
        staging, who = self._staging, self.identity
        hold = 0.0
        if self._failover.confirmed and staging.complete():
            hold = self._hold * self._rng.uniform(MIN_HOLD_FRACTION, 1.0)
        head = who.cluster, who.relay, who.session, who.region, who.zone
        return Poll(*head, staging.position or 0, staging.digest, hold, self.holdings.version, self.rejected)

    def _poll_again(self, now: float) -> None:
        """The machine answered: send it the next request at once."""
        self._failover.answered()
        self._outstanding, self.wake_at = None, now

    def _confirm(self, now: float) -> None:
        self._poll_again(now)
        self.wake_at = max(now, self._earliest_poll_at)
        self.holdings.version = self._staging.position
        self.rejected, self.confirmed_at = None, now

    def _offer_update(self, now: float) -> None:
        self._poll_again(now)
        self._update, self.wake_at = self._staging.update(), inf

    def _apply_update(self, now: float) -> None:
        self._staging.apply(self._update)
        self._staging = Staging(self.holdings, self._limit)
        self._update, self.rejected = None, None
        self.confirmed_at = self.wake_at = now

    def _retain_staged(self, now: float) -> None:
        """Keeps the rejected version staged, so that a later change of the key can repair it.

        It is offered again after each poll, because the rejection may have had a cause in the relay itself.
        """
        self._update, self.wake_at = None, max(now, self._earliest_poll_at)

    def _fail_over(self, now: float) -> None:
        self._outstanding, self.wake_at = None, self._failover.failed(now)

    def _discard_oversize(self, now: float) -> None:
        self._outstanding, self._staging = None, Staging(self.holdings, self._limit)
        self.wake_at = now + OVERSIZE_RETRY_SECONDS * self._rng.uniform(0.5, 1.0)
