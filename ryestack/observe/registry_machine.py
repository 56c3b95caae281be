"""The events of a control machine, for `registry`."""

MACHINE_ROWS = (
    (
        "machine.blocked",
        "ERROR",
        "why",
        "the change log's disk is full: this machine takes no changes and says nothing to the other voters",
        "free space in its folder; it goes on by itself",
        "*",
    ),
    (
        "machine.lost",
        "WARNING",
        "machine why",
        "the voter that this control machine followed gave no answer that could be used; the next is asked",
        "nothing, unless it is told of all of them",
        "machine",
    ),
    (
        "machine.not_compacted",
        "WARNING",
        "why",
        "there was no room for a snapshot; the change log goes on growing",
        "free space in the folder",
        "*",
    ),
    ("machine.open", "INFO", "machine address", "a control machine answers at this address"),
    ("machine.role", "INFO", "role leader term", "a voter's part in the change log, and whom it follows"),
    ("machine.unblocked", "INFO", "", "the change log's disk takes records again"),
)
