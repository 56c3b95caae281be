"""Ids of notifications that ended a short while ago. No I/O."""

from collections import OrderedDict

MAX_IDS = 2048  # some tens of seconds of traffic


class RecentIds:
    """Remembers the ids that were added last, up to MAX_IDS."""

    def __init__(self):
        self._ids: OrderedDict[str, None] = OrderedDict()

    def add(self, name: str) -> None:
        self._ids[name] = None
        self._ids.move_to_end(name)
        if len(self._ids) > MAX_IDS:
            self._ids.popitem(last=False)

    def __len__(self) -> int:
        return len(self._ids)

    def __contains__(self, name: str) -> bool:
        return name in self._ids
