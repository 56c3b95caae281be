"""The events of relays that have control machines: rows of the registry, in its form."""

CONTROL_ROWS = (
    (
        "control.applied",
        "INFO",
        "version entries removed",
        "a version of destinations and settings from the control machines is in force; how many changed",
        "nothing",
        "*",
    ),
    (
        "control.blocked",
        "WARNING",
        "why",
        "a control machine gave no answer that can be used; the next is asked, and what is in force stays",
        "that machine, if it goes on; `control_age_seconds` tells how old what is in force is",
        "*",
    ),
    ("control.flowing", "INFO", "", "a control machine answers again"),
    (
        "control.rejected",
        "WARNING",
        "key why",
        "a newer version has a value that this relay cannot use; it stays whole on the one before",
        "change that key again",
        "key",
    ),
    (
        "control.unsaved",
        "WARNING",
        "most",
        "what is in force is not kept for the next start, which will need a control machine: it is too large "
        "for its part of the folder, or the folder cannot be written",
        "more disk in the configuration, or free space",
        "*",
    ),
)
