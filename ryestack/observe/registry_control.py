"""Rows of the event registry for relays that use control machines."""

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
        "a control machine gave no usable answer; the next one is asked, the version in force stays",
        "check that machine if it continues; `control_age_seconds` is the age of the version in force",
        "*",
    ),
    ("control.flowing", "INFO", "", "a control machine answers again"),
    (
        "control.rejected",
        "WARNING",
        "key why",
        "a newer version has a value that this relay cannot use; the relay keeps the whole previous version",
        "correct the value of that key",
        "key",
    ),
    (
        "control.unsaved",
        "WARNING",
        "most",
        "the version in force could not be saved, so the next start will need a control machine: it is too "
        "large for its share of the state folder, or the folder cannot be written",
        "raise `disk` in the configuration, or free space",
        "*",
    ),
)
