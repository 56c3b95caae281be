"""Rows of the event registry for single hand-ins, pushes and connections, faults, and invariant checks."""

FAULT_ROWS = (
    (
        "accept.failed",
        "WARNING",
        "why",
        "the system lacked resources to accept a connection or open the listening socket; it is retried",
        "check the machine's file descriptors and memory if it continues",
        "why",
    ),
    (
        "loop.error",
        "ERROR",
        "why",
        "a callback of the event loop failed (with traceback); what it was to do may not have happened",
        "keep the log, and report it to the maintainers",
    ),
    (
        "loop.held_up",
        "WARNING",
        "seconds",
        "a timer fired late by `seconds`: the process stood still, or the machine gave it no time",
        "check the machine's load, and `folder.slow`",
        "*",
    ),
    (
        "folder.slow",
        "WARNING",
        "operation seconds",
        "a file operation in the state folder took `seconds`",
        "check the disk: hand-ins and calls wait for it",
        "operation",
    ),
    (
        "learnt.partial",
        "WARNING",
        "file kept of most",
        "what is learnt has no room in the state folder: `kept` of `of` rows fit the `most` bytes of `file`; "
        "a start after a kill knows nothing of the others",
        "raise `limits.disk_mb`",
        "file",
    ),
    (
        "learnt.unsaved",
        "WARNING",
        "file why",
        "what is learnt cannot be written to `file` in the state folder; the one of before stays",
        "check the state folder",
        "file",
    ),
    (
        "loop.broken",
        "DEBUG",
        "why",
        "a connection broke inside the HTTP library, where no code of the relay waited for it",
    ),
    (
        "invariant.violated",
        "ERROR",
        "rule id route",
        "a push or final answer would have violated a delivery rule, by what is recorded and sent: it was "
        "not made; or a client's request was read and its connection ended without an answer",
        "keep the log and the state folder, and report it to the maintainers",
        "rule",
    ),
    (
        "push.began",
        "DEBUG",
        "id push route destination after permission left window",
        "a push was handed to the dispatcher; `after`: how the previous push ended; `permission`: what "
        "allows it; `left`, `window`: seconds left of its time and of its window of repeats",
    ),
    (
        "push.ended",
        "DEBUG",
        "id push route result elapsed wait limit left",
        "how a push ended, and what its answer reported about waits and limits",
    ),
    (
        "call.began",
        "DEBUG",
        "route ids connection call",
        "a call's first byte was written; `connection`: its number, `call`: its place on it",
    ),
    (
        "answer.skipped",
        "WARNING",
        "route connection call status",
        "an answer on a connection that had carried a call before does not announce the close that the call "
        "asked for: it may be that of the earlier call, and was not used",
        "if it lasts, look for what repeats answers between the relay and that endpoint",
        "route",
    ),
    (
        "endpoint.closed",
        "DEBUG",
        "route connection calls why",
        "this relay closed a connection to an endpoint; `calls`: carried by it",
    ),
    (
        "push.refused",
        "INFO",
        "destination route kind wait limit left",
        "an endpoint turned a push away; `kind`: with or without a wait, or at a used-up limit",
        "see the table of troubles",
        "destination",
    ),
    (
        "destination.changed",
        "INFO",
        "destination route state why after failing refusals rate tokens open",
        "what this relay takes a destination for: warm, suspected (its last calls were refused, or more than "
        "one failed), down, or warming (back from an outage); `why`: the last outcome; `after`: seconds in "
        "the state before; `failing`: seconds since the first failed call; `rate`, `tokens`: calls a second "
        "and calls that its limiter allows now; `open`: calls there without an outcome",
        "down at one relay alone: check its links; at all: the partner",
    ),
    ("push.unsent", "DEBUG", "id route why", "a scheduled push was not started"),
    (
        "request.copied",
        "WARNING",
        "id",
        "a client's request came twice on its connection; the copy was neither used nor answered",
        "if it lasts, look for what repeats requests between the clients and this relay",
        "*",
    ),
    ("request.refused", "DEBUG", "id why", "a hand-in was refused"),
    (
        "client.refused",
        "DEBUG",
        "why held",
        "a request was refused before it had come whole; `held`: bytes that its connection held",
    ),
    ("client.left", "DEBUG", "id", "a request was not handed in: its client had ended the connection"),
    ("client.closed", "DEBUG", "why requests", "a client's connection ended; `requests`: received on it"),
    ("front.open", "INFO", "protocol address", "clients are served at this address"),
)
