"""What waits for replicas, for how long, and what happens then: a table. Pure.

A client waits 400 ms for its answer, so a promise that is not covered by WAIT is answered without a cover.
"""

COVER_TIMEOUT_S = (
    0.15  # seconds from the journal's record to the answer without a cover: a round trip and a retry fit
)
TICK_S = (
    0.03  # seconds between looks at what is due: a beat is a quarter of a lease, and that a second or more
)

# (what waits, how its cover came, what the operator chose for alone) -> what is done
ROWS = (
    ("hand-in", "covered", "serve refuse", "take"),
    ("hand-in", "late", "serve", "take uncovered"),  # it stays in the shard, and is covered when that can be
    # A replica may have it: no answer but this promises nothing.
    ("hand-in", "late", "refuse", "leave in doubt"),
    ("hand-in", "no lease", "serve", "take outside"),  # nobody else knows of it, or ever will
    ("hand-in", "no lease", "refuse", "turn away"),
    ("push", "covered", "serve refuse", "send"),
    ("push", "late", "serve refuse", "do not send"),  # it counts as not sent, and is decided again
    ("push", "no lease", "serve refuse", "do not send"),
    ("notice", "covered", "serve refuse", "tell"),
    ("notice", "late", "serve refuse", "keep"),  # it is owed, until it is covered or another tells one
)
TABLE = {(what, how, alone): do for what, how, both, do in ROWS for alone in both.split()}
ENDLESS = {"notice"}  # waits until it is covered, or the shard is another's


def action_for(what: str, how: str, alone: str) -> str:
    return TABLE[what, how, alone]


def cover_result(covered: bool) -> str:
    return "covered" if covered else "late"
