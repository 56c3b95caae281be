"""What connections of clients and endpoints are doing, and why they were refused or closed."""

from enum import Enum


class CloseReason(Enum):
    """Why a client's connection ended; the values are labels of the counter and fields of the log."""

    CLIENT = "its client"
    IDLE_TIMEOUT = "idle for long"
    EVICTED = "room for another"
    SHUTDOWN_OR_DRAIN = "a stop or a drain"
    AFTER_LAST_ANSWER = "behind its last answer"
    STALE_REQUEST = "a request that its client had given up"
    REFUSED = "a request that was refused before it had come whole"


class RefusedInput(Enum):
    """Why the rest of a request was not read; the values appear in the metrics and in the log."""

    OVER_BUDGET = "clients hold as many bytes as they may"
    STALLED = "it stood still while others needed its bytes"
    ROOM_FOR_ANOTHER = "it stood still while others needed its connection"
    HEAD_TOO_LARGE = "its head is too large"
    TOO_MANY_CHUNKS = "its body is in too many chunks"


class ConnectionState(Enum):
    """What a client's connection is doing; the values are labels of the metrics."""

    IDLE = "idle"  # or it has sent a part of a head
    RECEIVING = "receiving a body"
    ANSWERING = "waiting for an answer"
    ENDING = "ending"


class EndpointCloseReason(Enum):
    """Why this relay closed an endpoint's connection; the values are labels of the counter and log fields."""

    NO_CALL = "bytes without a call"
    SURPLUS = "bytes behind an answer"
    EARLY = "an answer before the whole call was written"
    MALFORMED = "an answer that cannot be read"
    UNPROVEN = "an answer that may be that of another call"
    LAST_CALL = "its last call ended"
    IDLE = "idle for long"
    NOT_BEGUN = "a call that came too late to begin"
    GIVEN_UP = "its call was given up"
    EVICTED = "room for another"
    HUNG_UP = "the decisions closed it"
    ENDPOINT_LEFT = "its endpoint is gone"
