"""The control tier: destinations and settings, in scope and versioned, from a few machines to all relays.

Spoken: HTTP/1.1 with msgpack bodies, the messages of `messages.py`. Pure: `assignment` (which relays serve
which destination), `catalogue` (the versioned entries), `publisher` (a machine's answers), `subscriber`
(a relay's view), `consensus` (the replicated change log). Sockets and files: `client`, `server`, `storage`,
`machine`. Left out: encryption, a set of voters that changes at run time. Off unless an operator file has
`[control]`.
"""
