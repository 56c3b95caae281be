"""What is done once a promise (answer, push or notice) has been replicated, or could not be. Pure.

A promise is covered once a majority of the shard's group holds its record. A client waits 400 ms for its
answer, so a hand-in that is not covered within COVER_TIMEOUT_S is answered without cover.
"""

# Seconds from the journal's record to the answer without cover: a round trip and a retry fit.
COVER_TIMEOUT_S = 0.15
# Seconds between checks of timers: a heartbeat interval is a quarter of a lease, and a lease is at least 1 s.
TICK_S = 0.03

# (what waits, result of replicating it, the operator's `alone` settings) -> action
ROWS = (
    ("hand-in", "covered", "serve refuse", "take"),
    ("hand-in", "late", "serve", "take uncovered"),  # it stays in the shard, and is covered once possible
    # A replica may hold it: only an answer that promises nothing is correct.
    ("hand-in", "late", "refuse", "leave in doubt"),
    ("hand-in", "no lease", "serve", "take outside"),  # no other relay knows of it, now or later
    ("hand-in", "no lease", "refuse", "turn away"),
    ("push", "covered", "serve refuse", "send"),
    ("push", "late", "serve refuse", "do not send"),  # it counts as not sent, and is scheduled again
    ("push", "no lease", "serve refuse", "do not send"),
    ("notice", "covered", "serve refuse", "tell"),
    (
        "notice",
        "late",
        "serve refuse",
        "keep",
    ),  # it stays owed until it is covered or another relay sends one
)
TABLE = {
    (what, result, alone): action
    for what, result, settings, action in ROWS
    for alone in settings.split()
}  # fmt: skip
UNBOUNDED = {"notice"}  # these wait until they are covered or another relay leads the shard


def action_for(what: str, result: str, alone: str) -> str:
    """The action for what ("hand-in", "push", "notice") with that result ("covered", "late", "no lease")."""
    return TABLE[what, result, alone]


def cover_result(covered: bool) -> str:
    """The result, as in ROWS, of a promise that waited for its cover."""
    return "covered" if covered else "late"
