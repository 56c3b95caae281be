"""What stand-ins write down: each effect, each notice, each connection. An independent judge reads these."""

import msgspec

MOST = 2_000_000  # rows of a kind; past it books are not whole and say so


class Run(msgspec.Struct, array_like=True):
    """One effect at a partner. came: when its call had come whole; at: of the effect; answered: when the 200
    was written, 0 if none was. Seconds of the wall clock; size: bytes of the body."""

    id: str
    key: str
    endpoint: str
    came: float
    at: float
    answered: float = 0.0
    size: int = 0


class Arrival(msgspec.Struct, array_like=True):
    """One call that came whole, whatever it met. id: of its first notification; how: as a desk's reception;
    wait: seconds told with the answer, 0 if none. Seconds of the wall clock."""

    id: str
    endpoint: str
    at: float
    how: str
    wait: float = 0.0


class Notice(msgspec.Struct, array_like=True):
    """One final answer at the platform. after: seconds to stay away, 0 if none was told."""

    id: str
    state: str
    at: float
    after: float = 0.0


class Line(msgspec.Struct, array_like=True):
    """One connection: opened, closed (0: open still) in seconds of the wall clock, and the calls on it."""

    endpoint: str
    opened: float
    closed: float = 0.0
    calls: int = 0


class Books(msgspec.Struct):
    """counts: calls by what they met. whole: False once rows were left out."""

    runs: list[Run] = []
    notices: list[Notice] = []
    lines: list[Line] = []
    arrivals: list[Arrival] = []
    calls: dict[str, int] = {}
    whole: bool = True

    def add(self, rows: list, row):
        if len(rows) < MOST:
            rows.append(row)
        else:
            self.whole = False
        return row

    def count(self, endpoint: str, how: str) -> None:
        name = f"{endpoint} {how}"
        self.calls[name] = self.calls.get(name, 0) + 1


def dump(books: Books) -> bytes:
    return msgspec.json.encode(books)


def load(data: bytes) -> Books:
    """Raises msgspec.MsgspecError where these are no books."""
    return msgspec.json.decode(data, type=Books)
