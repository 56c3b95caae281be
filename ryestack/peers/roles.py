"""State machine of a shard's group member: follower, candidate, leader. Pure."""

# (states, input, next state, method of Shard to call); other combinations change nothing.
ROWS = (
    ("follower", "no leader", "candidate", "request_votes"),
    ("candidate", "majority granted", "leader", "become_leader"),
    ("candidate", "election failed", "follower", "back_off"),
    ("follower candidate leader", "higher epoch", "follower", "step_down"),
    ("candidate", "other leader", "follower", None),
    ("leader", "nothing owed", "follower", "step_down"),
)
TABLE = {(state, cause): (to, effect) for states, cause, to, effect in ROWS for state in states.split()}
