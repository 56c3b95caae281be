"""What a member of a shard's group is, and what makes it another: follower, candidate, leader. Pure."""

# (states, input, next state, effect); what is not listed changes nothing.
ROWS = (
    ("follower", "nobody acts", "candidate", "ask"),
    ("candidate", "a majority", "leader", "take_up"),
    ("candidate", "too few in time", "follower", "wait_longer"),
    ("follower candidate leader", "a higher epoch", "follower", "step_down"),
    ("candidate", "another holds", "follower", None),
    ("leader", "all is over", "follower", "step_down"),
)
TABLE = {(state, heard): (to, do) for states, heard, to, do in ROWS for state in states.split()}
