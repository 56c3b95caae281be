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
        "why most",
        "the version in force could not be saved: it is too large for its share of the state folder (`most` "
        "bytes with its replacement), or the folder cannot be written; `control.stale` tells what the next "
        "start holds back",
        "raise `disk_mb` in the configuration, or free space",
        "*",
    ),
    (
        "control.stale",
        "WARNING",
        "endpoints version",
        "the scope in force, of that version, is not in the folder, and `endpoints` of the one that is there "
        "are out of date: a start without a control machine in reach gives these endpoints nothing",
        "as for `control.unsaved`",
        "*",
    ),
    (
        "control.withheld",
        "WARNING",
        "endpoints version",
        "this process started with a saved scope of that version of which `endpoints` may be out of date: "
        "they get nothing until a control machine has confirmed the scope",
        "restore a control machine",
        "*",
    ),
)
