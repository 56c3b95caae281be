"""Records that the stand-ins keep of effects, calls, notices and connections, for an independent checker."""

import msgspec

MAX_ROWS = 2_000_000  # rows per list; further rows are dropped and Books.whole becomes False


class Run(msgspec.Struct, array_like=True):
    """One effect at a partner. came: when the call had arrived completely; at: when it took effect;
    answered: when the 200 was written, 0 if it was not; size: bytes of the body. Wall-clock times."""

    id: str
    key: str
    endpoint: str
    came: float
    at: float
    answered: float = 0.0
    size: int = 0


class Arrival(msgspec.Struct, array_like=True):
    """One call that arrived completely, whatever its outcome. id: of its first notification; how: its
    CallOutcome.kind; wait: retry-after seconds sent with the answer, 0 for none. Wall-clock times."""

    id: str
    endpoint: str
    at: float
    how: str
    wait: float = 0.0


class Notice(msgspec.Struct, array_like=True):
    """One final answer received by the platform. after: retry-after seconds, 0 for none."""

    id: str
    state: str
    at: float
    after: float = 0.0


class ConnectionRecord(msgspec.Struct, array_like=True):
    """One connection: wall-clock times of opening and closing (0: still open), and its number of calls."""

    endpoint: str
    opened: float
    closed: float = 0.0
    calls: int = 0


class Books(msgspec.Struct):
    """All records of a stand-in. calls: counts by endpoint and outcome; whole: False if rows were dropped."""

    runs: list[Run] = []
    notices: list[Notice] = []
    lines: list[ConnectionRecord] = []
    arrivals: list[Arrival] = []
    calls: dict[str, int] = {}
    whole: bool = True

    def add(self, rows: list, row):
        """Appends the row unless the list is full; returns the row."""
        if len(rows) < MAX_ROWS:
            rows.append(row)
        else:
            self.whole = False
        return row

    def count(self, endpoint: str, how: str) -> None:
        """Counts a call by its outcome."""
        name = f"{endpoint} {how}"
        self.calls[name] = self.calls.get(name, 0) + 1


def dump(books: Books) -> bytes:
    """Encodes books as JSON."""
    return msgspec.json.encode(books)


def load(data: bytes) -> Books:
    """Decodes books; raises msgspec.MsgspecError on malformed data."""
    return msgspec.json.decode(data, type=Books)
