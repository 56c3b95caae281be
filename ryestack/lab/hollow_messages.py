"""Messages of a host of hollow relays: its specification, commands and reports, as lines of JSON. Pure."""

import msgspec

from ..operator.schema import ControlMachine


class HollowPlace(msgspec.Struct, frozen=True):
    """Name and location of a hollow relay; group: the address table that it uses."""

    name: str
    region: str
    zone: str
    group: str


class Specification(msgspec.Struct, frozen=True):
    """The configuration that a host is started with.

    tables: machine addresses by group and machine name; book: path of the file for its relays' records.
    hold: long-poll time in seconds.
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
    """Starts the named relays that are not running, spread over `over` seconds; without names: all."""

    names: list[str] = []
    over: float = 0.0


class Stop(msgspec.Struct, frozen=True, tag="stop"):
    """Stops relays at once, as a kill does; without names: all. keep: their saved state survives."""

    names: list[str] = []
    keep: bool = True


class Watch(msgspec.Struct, frozen=True, tag="watch"):
    """From now on, each value of a version above this one is recorded."""

    above: int


class Tell(msgspec.Struct, frozen=True, tag="tell"):
    """Requests a report and does nothing else."""


class Close(msgspec.Struct, frozen=True, tag="close"):
    """Records what each relay holds of the watched versions, then stops all relays."""


Command = Start | Stop | Watch | Tell | Close


class Report(msgspec.Struct, frozen=True):
    """State of a host.

    running: number of started relays; broken: those whose client ended without being stopped; lowest: the
    lowest version in force at any of them; entries: total that they hold; requests, failures: totals of the
    clients since their starts; cpu: processor seconds of the process; memory: peak resident bytes.
    """

    running: int
    broken: int
    lowest: int
    entries: int
    requests: int
    failures: int
    cpu: float
    memory: int
