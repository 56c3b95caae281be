"""The events of faults met at run time, and of the checks of the rules, for `registry`."""

FAULT_ROWS = (
    (
        "accept.failed",
        "WARNING",
        "why",
        "the system had no room for a connection or the listening socket for a moment; it is tried again",
        "descriptors and memory of the machine, if it goes on",
        "why",
    ),
    ("front.open", "INFO", "protocol address", "clients are served at this address"),
)
