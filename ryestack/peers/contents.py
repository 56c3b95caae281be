"""What there is of a shard: the facts of what is owed, what is over already, how far others have it. Pure."""

from dataclasses import dataclass
from math import inf

from .messages import Record


@dataclass
class Progress:
    """Another member, as the leader sees it."""

    has: int = -1  # position it has of this epoch, -1 if nothing yet
    granted: float = -inf  # when we asked for the youngest grant it gave, by our clock
    sent: float = -inf
    waits: bool = False  # a message to it is out


class Contents:
    def __init__(self, records=()):
        self.items: dict[str, list[Record]] = {}  # the facts of each notification that is owed, in order
        self.finished: dict[
            str, float
        ] = {}  # over already, and their time, of the wall: who comes back must know
        self.apply(records)

    def apply(self, records) -> None:
        for record in records:
            if record.over:
                self.items.pop(record.id, None)
                self.finished[record.id] = record.due
            elif record.id not in self.finished:
                self.items.setdefault(record.id, []).append(record)

    def snapshot(self) -> list[Record]:
        """Records that give the same again."""
        over = [Record(name, b"", True, due) for name, due in self.finished.items()]
        return [*over, *(record for records in self.items.values() for record in records)]

    def forget(self, wall: float) -> None:
        """Those whose time is up can come back no more."""
        self.finished = {name: due for name, due in self.finished.items() if due > wall}
