"""Leader elections: when a replica campaigns, for whom it votes, and when it has won.

A pre-vote comes first: a candidate asks whether it would get the votes, without raising its term. Voters in
contact with a leader ignore it, so a replica with an unreliable connection does not disrupt the leader.
"""

from .consensus_messages import VoteReply, VoteRequest
from .consensus_state import ReplicaState, Role


class Election:
    """One replica's part in elections. timeout: seconds; it campaigns after one to two timeouts."""

    def __init__(self, state: ReplicaState, rng, timeout: float, now: float):
        self.state, self.rng, self.timeout = state, rng, timeout
        self.leader_seen_at = now
        self.votes: set[str] = set()
        self.reset_deadline(now)

    def reset_deadline(self, now: float) -> None:
        """Sets a new randomized election deadline."""
        self.deadline = now + self.rng.uniform(self.timeout, 2.0 * self.timeout)

    def is_due(self, now: float) -> bool:
        """Whether the election deadline has passed."""
        if self.deadline - now > 2.0 * self.timeout:  # the clock was set back
            self.reset_deadline(now)
        return now >= self.deadline

    def postpone(self, seconds: float) -> None:
        """Extends the timers by the time for which the process was suspended."""
        self.deadline += seconds
        self.leader_seen_at += seconds

    def observe_leader(self, name: str, now: float) -> None:
        """A message of the current term's leader arrived: become its follower."""
        self.state.role, self.state.leader = Role.FOLLOWER, name
        self.leader_seen_at = now
        self.reset_deadline(now)

    def has_leader(self, now: float) -> bool:
        """Whether a leader sent a message within the timeout, or this replica is the leader."""
        if self.state.role is Role.LEADER:
            return True
        return bool(self.state.leader) and abs(now - self.leader_seen_at) < self.timeout

    def step_down(self, term: int, now: float) -> None:
        """Becomes a follower without a known leader, possibly in a newer term."""
        if term > self.state.term:
            self.state.set_term(term, "")
        self.state.role, self.state.leader = Role.FOLLOWER, ""
        self.reset_deadline(now)

    def campaign(self, now: float) -> bool:
        """Requests pre-votes; returns True if the election is won at once by the only voter."""
        return self._request_votes(Role.PRE_CANDIDATE, now) and self._campaign_in_new_term(now)

    def handle_reply(self, reply: VoteReply, now: float) -> bool:
        """Counts a vote; returns whether it makes the replica the leader of its term."""
        state = self.state
        if not reply.granted:
            return False
        if reply.pre_vote and state.role is Role.PRE_CANDIDATE and reply.term == state.term + 1:
            return self._record_vote(reply.sender) and self._campaign_in_new_term(now)
        if not reply.pre_vote and state.role is Role.CANDIDATE and reply.term == state.term:
            return self._record_vote(reply.sender)
        return False

    def handle_request(self, request: VoteRequest, now: float) -> None:
        """Answers a vote request; a refusal carries this replica's own term."""
        state = self.state
        log_is_current = (request.last_term, request.last_position) >= (
            state.log.last_term,
            state.log.last_position,
        )
        if request.pre_vote:
            granted = log_is_current and request.term > state.term
        else:
            granted = log_is_current and request.term == state.term and state.vote in ("", request.sender)
            if granted:
                state.set_term(state.term, request.sender)
                self.reset_deadline(now)
        term = request.term if granted else state.term
        state.send(request.sender, VoteReply, term, pre_vote=request.pre_vote, granted=granted)

    def _campaign_in_new_term(self, now: float) -> bool:
        self.state.set_term(self.state.term + 1, self.state.name)
        return self._request_votes(Role.CANDIDATE, now)

    def _request_votes(self, role: Role, now: float) -> bool:
        state = self.state
        state.role, state.leader = role, ""
        self.votes = set()
        self.reset_deadline(now)
        pre_vote = role is Role.PRE_CANDIDATE
        for voter in state.others:
            state.send(
                voter,
                VoteRequest,
                state.term + 1 if pre_vote else state.term,
                pre_vote=pre_vote,
                last_position=state.log.last_position,
                last_term=state.log.last_term,
            )
        return self._record_vote(state.name)

    def _record_vote(self, voter: str) -> bool:
        self.votes.add(voter)
        return len(self.votes) >= self.state.majority
