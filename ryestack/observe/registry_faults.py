"""The events of hand-ins, pushes and connections one by one, of faults, and of the rules' checks."""

FAULT_ROWS = (
    (
        "accept.failed",
        "WARNING",
        "why",
        "the system had no room for a connection or the listening socket for a moment; it is tried again",
        "descriptors and memory of the machine, if it goes on",
        "why",
    ),
    (
        "loop.error",
        "ERROR",
        "why",
        "a fault in a callback of the event loop, with its traceback; what it was for may not have happened",
        "keep the log, and tell the maintainers",
    ),
    (
        "loop.broken",
        "DEBUG",
        "why",
        "a connection broke in the library's hands, where nothing of ours waited for it",
    ),
    (
        "invariant.violated",
        "ERROR",
        "rule id route",
        "a decided push or end would have broken a rule of delivery, by what is written and told: it was not "
        "done; or a client's request was read and its connection ended with no answer",
        "keep the log and the folder, and tell the maintainers",
        "rule",
    ),
    (
        "push.began",
        "DEBUG",
        "id push route destination after",
        "a push was handed to the dispatcher; after: how the one before ended",
    ),
    (
        "push.ended",
        "DEBUG",
        "id push route result elapsed wait limit left",
        "how a push ended, and what its answer told of waits and limits",
    ),
    ("push.unsent", "DEBUG", "id route why", "a push that was decided was not started"),
    ("request.refused", "DEBUG", "id why", "a hand-in was not taken on"),
    ("client.closed", "DEBUG", "why requests", "a client's connection ended; requests: that it had brought"),
    ("front.open", "INFO", "protocol address", "clients are served at this address"),
)
