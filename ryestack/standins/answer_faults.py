"""Faults in the order of answers on one connection: copies, early copies, cut copies, and late rests. Pure.

HTTP/1.1 ties an answer to its request by its place on the connection alone; each of these breaks the place.
"""

from enum import Enum
from random import Random
from typing import NamedTuple

COPY_DELAY_S = (0.0, 0.4)  # between an answer and its copy
REST_DELAY_S = (0.01, 0.2)  # between the first half of an answer and its rest


class AnswerFault(Enum):
    """What happens to one answer."""

    COPY_LATER = "the answer comes again"
    EARLIER_LATER = "an earlier answer of the connection comes again"
    EARLIER_FIRST = "an earlier answer comes again, just before the new one"
    HALF_COPY = "half of a copy comes, and no more"
    HALF_COPY_THEN_NEXT = "half of a copy comes, and its rest before the next answer"
    LATE_REST = "half of the answer comes at once, the rest later"


class Write(NamedTuple):
    """Bytes to write to the caller after so many seconds."""

    after: float
    data: bytes


class AnswerFaults:
    """Draws what the caller receives for each answer of one connection.

    share: the fraction of answers that something happens to.
    """

    def __init__(self, rng: Random, share: float):
        self.rng, self.share = rng, share
        self.earlier: list[bytes] = []
        self.owed_rest = b""

    def writes(self, answer: bytes) -> list[Write]:
        """All writes for an answer, the answer itself among them."""
        before, self.owed_rest = self.owed_rest, b""
        writes = [Write(0.0, before + answer)]
        if self.rng.random() < self.share:
            fault = self.rng.choice(list(AnswerFault))
            writes = self._apply(fault, before, answer)
        self.earlier.append(answer)
        return writes

    def _apply(self, fault: AnswerFault, before: bytes, answer: bytes) -> list[Write]:
        half = len(answer) // 2
        plain, delay = Write(0.0, before + answer), self.rng.uniform(*COPY_DELAY_S)
        earlier = self.rng.choice(self.earlier) if self.earlier else b""
        if fault is AnswerFault.COPY_LATER:
            return [plain, Write(delay, answer)]
        if fault is AnswerFault.EARLIER_LATER:
            return [plain, Write(delay, earlier)]
        if fault is AnswerFault.EARLIER_FIRST:
            return [Write(0.0, before + earlier + answer)]
        if fault is AnswerFault.HALF_COPY:
            return [plain, Write(delay, answer[:half])]
        if fault is AnswerFault.HALF_COPY_THEN_NEXT:
            self.owed_rest = answer[half:]
            return [plain, Write(delay, answer[:half])]
        return [Write(0.0, before + answer[:half]), Write(self.rng.uniform(*REST_DELAY_S), answer[half:])]
