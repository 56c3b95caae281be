"""The state machine of a relay's subscription: states, inputs and transitions. Pure."""

from enum import Enum

import msgspec

from .messages import Fetch, Poll
from .order import Machine


class State(Enum):
    """What the subscriber is waiting for."""

    WAITING = "waiting"  # for the time of the next request
    ASKING = "asking"  # for the answer to the outstanding request
    READY = "ready"  # for the staged version to be applied or rejected


class Input(Enum):
    """What triggers a transition."""

    DUE = "due"  # the time of the next request has come
    CURRENT = "current"  # the held version, or the rejected one, is confirmed as the newest
    CHANGED = "changed"  # a new version is complete
    MORE = "more"  # part of a version was received
    BEHIND = "behind"  # the machine has less than is held or staged
    FAILED = "failed"  # no usable answer
    OVERSIZE = "oversize"  # the scope exceeds the memory limit
    COMMITTED = "committed"
    REJECTED = "rejected"


# (state, input) -> (next state, name of the effect method of Subscriber)
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
    """How a relay identifies itself to control machines; session: increases with each start of the relay."""

    cluster: str
    relay: str
    session: int
    region: str
    zone: str


class PendingRequest(msgspec.Struct, frozen=True):
    """A request to send to a control machine; timeout: seconds until the whole answer must have arrived."""

    number: int
    machine: Machine
    request: Poll | Fetch
    timeout: float
