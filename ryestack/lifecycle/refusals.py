"""Why a hand-in is refused. No I/O."""

from enum import Enum


class Refusal(Enum):
    """Why a hand-in was refused; the values appear in the metrics and in the log."""

    ID_IN_USE = "its id is in use"
    ID_ENDED = "its id has ended"
    ID_ELSEWHERE = "another process of this relay has its id"
    IDS_FULL = "no room to remember its id"
    NO_REPLICAS = "too few replicas"
    DRAINED = "drained by staff"
    HOLD_FULL = "as much is held as may be"
    JOURNAL_FULL = "no room in the journal"
    MEMORY_FULL = "no room in memory"
    TOO_LATE = "its client has gone or is about to"
    JOURNAL_FAILS = "the journal cannot be written"
    NOT_RECORDED_IN_TIME = "the journal took too long"
    DECIDED = "the decisions gave it up"


ID_REFUSALS = (Refusal.ID_IN_USE, Refusal.ID_ENDED, Refusal.ID_ELSEWHERE)
