"""What clients that hand the same ids in again observed."""

import msgspec


class HandIn(msgspec.Struct):
    """One hand-in of an id: when it was sent, when its client left, the answer's status, 0 if none was read.
    Wall-clock times."""

    sent: float
    left: float = 0.0
    status: int = 0


class ReturnedRequest(msgspec.Struct):
    """One id, and each of its hand-ins."""

    id: str
    effect: str
    hand_ins: list[HandIn] = []
