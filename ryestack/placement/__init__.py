"""Placement of shard copies on nodes, and moves between nodes. Pure decisions: the caller moves the bytes.

`model`: nodes, shards and the state of a placement; `plan`: plans of moves with few bytes that keep every
node within its capacity at each step; `moves`: the state machine of one move. Not included: carrying moves
out over peers, which nothing does yet.
"""
