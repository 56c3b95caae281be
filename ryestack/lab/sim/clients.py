"""Clients and the load balancer in front of the relays: submissions, retries and final answers."""

import numpy as np

from ... import interface
from .relays import ACCEPT_WHILE_LEAVING_S, Relay, Submission

MAX_RELAY_DRAWS = 20  # draws for a relay not known to be dead, before the client has to retry
DEADLINE_CHECK_DELAY_S = 0.06  # after the deadline the judge checks for a final answer


class Clients:
    """Submits arrivals to relays.

    cumulative_weights: by relay while the load balancer is skewed, else None; known_dead: numbers of relays
    that the load balancer no longer sends to.
    """

    def __init__(self, world):
        self.world, self.day, self.clock = world, world.day, world.clock
        self.known_dead: set[int] = set()
        self.cumulative_weights: np.ndarray | None = None

    def start(self) -> None:
        """Schedule the first arrival."""
        if len(self.world.arrivals):
            self.clock.call_at(float(self.world.arrivals.time[0]), self.arrive, 0)

    def arrive(self, arrival: int) -> None:
        """Submit an arrival and schedule the next one."""
        arrivals = self.world.arrivals
        if arrival + 1 < len(arrivals):
            self.clock.call_at(float(arrivals.time[arrival + 1]), self.arrive, arrival + 1)
        self.world.measured.submitted(arrivals.destination[arrival], self.clock.now)
        self.submit(arrival, 0)

    def submit(self, arrival: int, attempt: int) -> None:
        """Submit an arrival to a relay.

        attempt: number of submissions before this one. A client that meets a dead or closed
        relay tries again.
        """
        accounts = self.world.accounts
        if accounts.delivered[arrival]:
            return
        now, topic = self.clock.now, accounts.topic[arrival]
        due = accounts.arrival_time[arrival] + self.day.topic[topic].ttl
        if now >= due:
            return
        relay = self.choose_relay()
        if relay is None or not relay.up or (relay.leaving and now > relay.leaving + ACCEPT_WHILE_LEAVING_S):
            self.world.measured.counts["dead_door"] += 1
            self.clock.call_later(self.day.clients.patience, self.submit, arrival, attempt)
            return
        key = int(self.world.arrivals.key[arrival])
        submission = Submission(f"{arrival}.{attempt}", arrival, topic, due, f"k{key}" if key >= 0 else "")
        submission.relay = relay
        relay.deliver(submission)

    def choose_relay(self) -> Relay | None:
        """The relay that the load balancer sends a client to; None if it finds none."""
        relays, uniform = self.world.relays, self.world.uniform
        if self.cumulative_weights is not None:
            return relays[
                int(
                    np.searchsorted(self.cumulative_weights, uniform() * self.cumulative_weights[-1], "right")
                )
            ]
        if not self.known_dead:
            return relays[int(uniform() * len(relays))]
        for _ in range(MAX_RELAY_DRAWS):
            relay = relays[int(uniform() * len(relays))]
            if relay.number not in self.known_dead:
                return relay
        return None

    def notification(self, submission: Submission) -> interface.Notification:
        """The interface's notification for a submission, with its push history."""
        arrival = submission.arrival
        return interface.Notification(
            submission.id,
            submission.due,
            int(self.world.arrivals.destination[arrival]),
            self.day.topic[submission.topic].name,
            self.day.customer[self.world.accounts.customer[arrival]].name,
            submission.key,
            submission.pushes,
            submission.may_have_run_at,
        )

    def accepted(self, submission: Submission) -> None:
        """A relay has accepted a submission."""
        self.world.measured.counts["taken"] += 1
        self.world.judge.accepted(submission, self.clock.now)
        self.clock.call_at(submission.due + DEADLINE_CHECK_DELAY_S, self.check_deadline, submission)

    def check_deadline(self, submission: Submission) -> None:
        """Ask the judge whether the final answer is overdue, until it needs no further check."""
        next_check = self.world.judge.check_deadline(submission, self.clock.now)
        if next_check is not None:
            self.clock.call_at(next_check, self.check_deadline, submission)

    def turned_away(self, submission: Submission) -> None:
        """A relay at its limit of open notifications has refused a submission, before its policy saw it."""
        self.world.measured.counts["turned_away"] += 1
        self.resubmit(submission, 0.0)

    def undelivered(self, submission: Submission, throttled: bool, retry_after: float) -> None:
        """A relay has answered throttled or expired; retry_after: in seconds, 0 if not requested."""
        what = "throttled" if throttled else "expired"
        self.world.measured.counts[what] += 1
        self.world.measured.add(what, self.clock.now)
        if throttled:
            self.resubmit(submission, retry_after)

    def resubmit(self, submission: Submission, retry_after: float) -> None:
        """Submit again after a backoff; retry_after: seconds that the relay requested, 0 if none."""
        attempt, clients = attempt_of(submission) + 1, self.day.clients
        if attempt > clients.again:
            return
        backoff, uniform = clients.backoff, self.world.uniform
        low, high = backoff if isinstance(backoff, list) else (backoff, backoff)
        wait = low + (high - low) * uniform()
        if retry_after > 0.0 and uniform() < clients.honour:
            wait = max(wait, retry_after)
        self.world.measured.counts["again"] += 1
        self.clock.call_later(wait, self.submit, submission.arrival, attempt)


def attempt_of(submission: Submission) -> int:
    """The number of submissions of the same arrival before this one."""
    return int(submission.id.partition(".")[2])
