"""The states of a relay's subscription, what can come in each, and what follows. Pure."""

from enum import Enum

import msgspec

from .messages import Fetch, Poll
from .order import Machine


class State(Enum):
    """What the subscriber waits for."""

    WAITING = "waiting"  # for a time
    ASKING = "asking"  # for an answer
    READY = "ready"  # for a version to be applied or rejected


class Input(Enum):
    """What can come."""

    DUE = "due"
    CURRENT = "current"  # all that is held, or rejected, is confirmed
    CHANGED = "changed"  # a version is complete
    MORE = "more"  # part of one came
    BEHIND = "behind"  # the machine has less than is held or gathered
    FAILED = "failed"
    OVERSIZE = "oversize"
    COMMITTED = "committed"
    REJECTED = "rejected"


# (state, input) -> (next state, effect: a method of the subscriber)
TABLE = {
    (State.WAITING, Input.DUE): (State.ASKING, "_send_request"),
    (State.ASKING, Input.CURRENT): (State.WAITING, "_confirm"),
    (State.ASKING, Input.CHANGED): (State.READY, "_offer_update"),
    (State.ASKING, Input.MORE): (State.WAITING, "_poll_again"),
    (State.ASKING, Input.BEHIND): (State.WAITING, "_fail_over"),
    (State.ASKING, Input.FAILED): (State.WAITING, "_fail_over"),
    (State.ASKING, Input.OVERSIZE): (State.WAITING, "_discard_oversize"),
    (State.READY, Input.COMMITTED): (State.WAITING, "_apply_update"),
    (State.READY, Input.REJECTED): (State.WAITING, "_retain_staged"),
}


class Identity(msgspec.Struct, frozen=True):
    """Who a relay is to the control machines; session: grows with each start."""

    cluster: str
    relay: str
    session: int
    region: str
    zone: str


class PendingRequest(msgspec.Struct, frozen=True):
    """Send the request to the machine; timeout: seconds for the whole answer."""

    number: int
    machine: Machine
    request: Poll | Fetch
    timeout: float
