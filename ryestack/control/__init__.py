"""The control plane: a few control machines distribute versioned destinations and settings to all relays.

Each relay receives only the entries of the shards in its scope. The protocol is HTTP/1.1 with msgpack bodies
(`messages.py`).

Pure state machines: `assignment` (which relays serve which destination), `catalogue` (the versioned entries),
`publisher` (a control machine's answers), `subscriber` (a relay's view), `consensus` (the replicated change
log). Sockets and files: `client`, `server`, `storage`, `machine`.

Not supported: encryption, and changes of the voter set at run time. The control plane is off unless the
operator file has a `[control]` table.
"""
