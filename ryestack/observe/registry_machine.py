"""Rows of the event registry for control machines."""

MACHINE_ROWS = (
    (
        "machine.blocked",
        "ERROR",
        "why",
        "the change log's disk is full: this machine accepts no changes and sends nothing to other voters",
        "free space in its folder; it continues by itself",
        "*",
    ),
    (
        "machine.lost",
        "WARNING",
        "machine why",
        "the voter that this control machine followed gave no usable answer; the next one is asked",
        "nothing, unless it is logged for all voters",
        "machine",
    ),
    (
        "machine.not_compacted",
        "WARNING",
        "why",
        "there was no space for a snapshot; the change log keeps growing",
        "free space in its folder",
        "*",
    ),
    ("machine.open", "INFO", "machine address", "a control machine answers at this address"),
    (
        "machine.role",
        "INFO",
        "role leader term",
        "a voter's role in the change log's consensus, and the leader that it follows",
    ),
    ("machine.unblocked", "INFO", "", "the change log's disk can be written again"),
)
