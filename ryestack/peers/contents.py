"""The data of a shard: records of owed notifications, ids of finished ones, replication progress. Pure."""

from dataclasses import dataclass
from math import inf

from .messages import Record


@dataclass
class Progress:
    """The leader's view of one other group member. Times are of the leader's clock."""

    held: int = -1  # last position that it holds in this epoch, -1 if none
    granted_at: float = -inf  # when the newest request that it granted a lease for was sent
    sent_at: float = -inf  # when the last request to it was sent
    in_flight: bool = False  # a request to it is in flight


class Contents:
    """The notifications of one shard: those still owed, and those that are finished."""

    def __init__(self, records=()):
        self.items: dict[str, list[Record]] = {}  # records of each owed notification, in order
        # Finished notifications and their deadlines, wall clock: a member that rejoins must learn of them.
        self.finished: dict[str, float] = {}
        self.apply(records)

    def apply(self, records) -> None:
        """Applies records in order. Records of a notification that is finished are ignored."""
        for record in records:
            if record.over:
                self.items.pop(record.id, None)
                self.finished[record.id] = record.due
            elif record.id not in self.finished:
                self.items.setdefault(record.id, []).append(record)

    def snapshot(self) -> list[Record]:
        """Records that reproduce these contents when applied to empty ones."""
        over = [Record(name, b"", True, due) for name, due in self.finished.items()]
        return [*over, *(record for records in self.items.values() for record in records)]

    def forget(self, wall: float) -> None:
        """Drops finished notifications whose deadline has passed: they cannot be delivered again."""
        self.finished = {name: due for name, due in self.finished.items() if due > wall}
