"""What a host of hollow relays is started with, told and answers: lines of JSON. Pure."""

import msgspec

from ..operator.schema import ControlMachine


class HollowPlace(msgspec.Struct, frozen=True):
    """One hollow relay; group: which table of addresses it uses."""

    name: str
    region: str
    zone: str
    group: str


class Specification(msgspec.Struct, frozen=True):
    """What a host is started with.

    tables: group to machine to address; book: the file that its relays' books are written to.
    """

    cluster: str
    machines: list[ControlMachine]
    tables: dict[str, dict[str, str]]
    relays: list[HollowPlace]
    hold: float
    replicas: int
    seed: int
    book: str


class Start(msgspec.Struct, frozen=True, tag="start"):
    """Starts those of the named relays that do not run, spread over some seconds; none named: all."""

    names: list[str] = []
    over: float = 0.0


class Stop(msgspec.Struct, frozen=True, tag="stop"):
    """Stops relays at once, as a kill does; none named: all. keep: their state folders outlast it."""

    names: list[str] = []
    keep: bool = True


class Watch(msgspec.Struct, frozen=True, tag="watch"):
    """From now on, values of versions above this are entered in the book one by one."""

    above: int


class Tell(msgspec.Struct, frozen=True, tag="tell"):
    """Asks for a report alone."""


class Close(msgspec.Struct, frozen=True, tag="close"):
    """Enters what each relay holds of the watched versions in the book, and stops all."""


Command = Start | Stop | Watch | Tell | Close


class Report(msgspec.Struct, frozen=True):
    """How a host stands.

    running: relays; broken: such whose client ended by itself; lowest: version in force at all of them;
    entries: that they hold together; requests, failures: of clients since their starts; cpu: seconds of the
    process; memory: bytes at its most.
    """

    running: int
    broken: int
    lowest: int
    entries: int
    requests: int
    failures: int
    cpu: float
    memory: int
