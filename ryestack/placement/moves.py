"""State machine of one move: exactly one copy is authoritative at any time, and no copy is dropped before
another one is verified.

If the planner, the source or the target is killed in any state, the event is `... lost`; a repeated event
changes nothing.
"""

# (states, event, next state)
ROWS = (
    ("planned", "begun", "copying"),
    ("copying", "digests agree", "verified"),
    ("copying", "digests differ", "planned"),  # the copy is discarded
    ("verified", "epoch taken", "switched"),
    ("switched", "old copy gone", "dropped"),
    ("planned copying verified", "called off", "cancelled"),
    ("planned copying verified", "target lost", "cancelled"),
    ("planned copying", "source lost", "cancelled"),
    ("switched", "source lost", "dropped"),
)
TABLE = {(state, event): to for states, event, to in ROWS for state in states.split()}
FINAL_STATES = {"dropped", "cancelled"}
AUTHORITATIVE = {"switched": "target", "dropped": "target"}  # in all other states the source


def next_state(state: str, event: str) -> str:
    """The state after an event; events without a row change nothing."""
    return TABLE.get((state, event), state)


def authoritative(state: str) -> str:
    """The node whose copy is authoritative: "source" or "target"."""
    return AUTHORITATIVE.get(state, "source")
