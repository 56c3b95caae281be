"""Relays of one cluster replicate the notifications that each of them owes to a few other relays.

Protocol: HTTP/1.1 with the msgpack bodies of `messages.py`, between the relays that the operator file lists.
Pure modules: `groups` (which relays replicate which), `shard` and `contents` (one relay life's work as one
group member holds it), `roster` (which peers are reachable), `node` (all shards of one relay). Sockets:
`transport`. Not supported: changing the set of relays without a restart, encryption.
"""
