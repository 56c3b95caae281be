"""Rows of the event registry for the endpoint list: where it comes from, and how it is followed."""

LIST_ROWS = (
    (
        "list.blocked",
        "WARNING",
        "why",
        "the registry does not answer; the old endpoint list stays in force",
        "check the registry; drains are noticed late meanwhile",
        "*",
    ),
    (
        "list.initial",
        "INFO",
        "source version registry age endpoints withheld",
        "the endpoint list that the start goes by until the registry answers: where it comes from, its "
        "version and registry, seconds since that last confirmed it; `withheld`: endpoints that get nothing "
        "until then",
        "with the registry silent and many withheld: bring the registry back",
    ),
    (
        "list.unsaved",
        "WARNING",
        "why",
        "the endpoint list cannot be saved, or a saved one cannot be read: a start while the registry is "
        "silent would go by an older list, without its rows that are out of date",
        "free space in the state folder; do not restart the relay while the registry is down",
        "*",
    ),
    (
        "list.stale",
        "WARNING",
        "endpoints version",
        "the list in force, of that version, is not in the folder, and `endpoints` rows of the one that is "
        "there are out of date: a start while the registry is silent gives these endpoints nothing",
        "as for `list.unsaved`",
        "*",
    ),
    (
        "list.slow",
        "WARNING",
        "seconds",
        "the registry answered only after `seconds`; the answer is in force",
        "check the registry: changes are known later, within six seconds while it takes less than 2.5",
        "*",
    ),
    ("list.changed", "INFO", "version entries whole", "the registry reported a change", "nothing", "*"),
    ("list.flowing", "INFO", "", "the registry answers again"),
    (
        "list.row_bad",
        "WARNING",
        "version why",
        "an entry of the endpoint list is invalid and was skipped; the others are in force",
        "correct the registry's data",
        "*",
    ),
    (
        "list.address_taken",
        "WARNING",
        "endpoint by address",
        "a change gave the address of `endpoint` to another destination; the endpoint gets nothing until "
        "the whole list, which is requested at once, tells whether it has gone; with `[control]` its "
        "destination has left the scope, and it gets nothing more",
        "nothing after one; repeated: endpoints of several destinations share an address",
        "*",
    ),
    (
        "list.older",
        "WARNING",
        "version in_force",
        "the registry answered with an older version than that in force; the whole list is requested again",
        "nothing after one; repeated: registries that do not agree, or a network that repeats answers",
        "*",
    ),
)
