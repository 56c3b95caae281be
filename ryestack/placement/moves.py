"""The life of one move, as a table: one holder is in force at any moment, and no copy goes before another
is proven.

A kill of the planner, the source or the target at any state is told as `lost`; what is told twice changes
nothing.
"""

# (states, what happened, next state)
ROWS = (
    ("planned", "begun", "copying"),
    ("copying", "digests agree", "verified"),
    ("copying", "digests differ", "planned"),  # what was copied counts for nothing
    ("verified", "epoch taken", "switched"),
    ("switched", "old copy gone", "dropped"),
    ("planned copying verified", "called off", "cancelled"),
    ("planned copying verified", "target lost", "cancelled"),
    ("planned copying", "source lost", "cancelled"),
    ("switched", "source lost", "dropped"),
)
TABLE = {(state, heard): to for states, heard, to in ROWS for state in states.split()}
ENDS = {"dropped", "cancelled"}
IN_FORCE = {"switched": "target", "dropped": "target"}  # else the source


def after(state: str, heard: str) -> str:
    return TABLE.get((state, heard), state)


def in_force(state: str) -> str:
    """Whose copy counts."""
    return IN_FORCE.get(state, "source")
