"""Relays of one installation that guard each other's work in hand, each for a few others.

Spoken: HTTP/1.1 with msgpack bodies, those of `messages.py`, between the relays that an operator file names.
Pure: `groups` (who guards whom), `shard` and `contents` (one life's work as one member has it), `roster`
(who is there), `node` (all of it in one relay). Sockets: `transport`. Left out: a set of relays that changes
without a restart, encryption.
"""
