"""Where copies of shards stand, and how they move: pure decisions. Bytes are moved by whoever asks for a
plan.

`model`: nodes, shards and what is wrong with a placing; `plan`: moves with few bytes, within headroom at
each step; `moves`: the table of one move. Left out: carrying moves out over peers, which nothing does yet.
"""
