"""Schema of the operator file: every key with its default, the values allowed, and its meaning.

docs/configuration.md and the JSON Schema are generated from it. Constants of routing decisions do not belong
here: a relay decides in the same way at every installation.
"""

from typing import Annotated, Literal

import msgspec
from msgspec import Meta

FORMAT = 1


class Log(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The log on standard error."""

    format: Annotated[
        Literal["text", "json"], Meta(description="`text` for people, `json`: one object per line")
    ] = "text"
    level: Annotated[
        Literal["DEBUG", "INFO", "WARNING", "ERROR"], Meta(description="the lowest level that is written")
    ] = "INFO"
    repeat: Annotated[
        float,
        Meta(
            ge=0, le=3600, description="seconds between repeated lines: one is written, then a count; 0: all"
        ),
    ] = 10.0
    summary: Annotated[float, Meta(ge=1, le=3600, description="seconds between summary lines")] = 10.0


class Directory(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The source of the endpoint list."""

    source: Annotated[
        Literal["catalog", "fixed"],
        Meta(description="`catalog`: the platform's registry, watched; `fixed`: the initial list, for good"),
    ] = "catalog"


class Ends(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Destination of final answers that no client waits for."""

    sink: Annotated[
        Literal["platform", "file"],
        Meta(description="`platform`: notices are posted to it; `file`: JSON lines are appended to `path`"),
    ] = "platform"
    path: Annotated[str, Meta(max_length=4096, description="the file, where `sink` is `file`")] = ""


class Peer(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One relay of the cluster."""

    name: Annotated[str, Meta(max_length=64, description="its name, as in its own configuration")]
    address: Annotated[
        str, Meta(max_length=255, description="the address at which its peers reach it, address:port")
    ]
    zone: Annotated[str, Meta(max_length=64, description="its failure domain")] = ""


class Peers(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Relays that replicate each other's open notifications; off if `cluster` is empty."""

    cluster: Annotated[
        str,
        Meta(max_length=64, description="its name; messages from other clusters are refused; empty: off"),
    ] = ""
    name: Annotated[
        str, Meta(max_length=64, description="which of `relays` this one is; empty: the relay's own name")
    ] = ""
    relays: Annotated[
        list[Peer], Meta(description="all relays of the cluster, including this one; the same at each")
    ] = []
    guards: Annotated[
        int,
        Meta(
            ge=1, le=6, description="replicas of what one relay owes; a majority, with that relay, must be up"
        ),
    ] = 2
    lease: Annotated[
        float,
        Meta(ge=1, le=60, description="seconds that a lost relay's work waits before another continues it"),
    ] = 3.0
    alone: Annotated[
        Literal["serve", "refuse"],
        Meta(
            description="with no guard in reach: `serve` new work unreplicated, or `refuse` it (Retry-After)"
        ),
    ] = "serve"


class ControlMachine(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One control machine of the cluster."""

    name: Annotated[str, Meta(min_length=1, max_length=64, description="its name, unique")]
    address: Annotated[str, Meta(max_length=255, description="the address that it listens on, address:port")]
    region: Annotated[
        str, Meta(max_length=64, description="its region; relays of that region ask it first")
    ] = ""
    voter: Annotated[
        bool, Meta(description="whether its copy of the change log counts for a majority; others follow")
    ] = False


class Control(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Destinations and settings of the scope, from control machines; off if `cluster` is empty."""

    cluster: Annotated[
        str,
        Meta(max_length=64, description="its name; messages from other clusters are refused; empty: off"),
    ] = ""
    role: Annotated[
        Literal["relay", "machine"],
        Meta(description="`relay`: delivers to the destinations in its scope; `machine`: a control machine"),
    ] = "relay"
    name: Annotated[
        str,
        Meta(max_length=64, description="which of `machines` this one is; a relay: empty for its own name"),
    ] = ""
    region: Annotated[str, Meta(max_length=64, description="a relay's region")] = ""
    zone: Annotated[str, Meta(max_length=64, description="a relay's zone, its failure domain")] = ""
    machines: Annotated[
        list[ControlMachine], Meta(description="all control machines, the same at each process")
    ] = []
    hold: Annotated[float, Meta(ge=1, le=30, description="seconds that a poll may wait for a change")] = 5.0
    replicas: Annotated[
        int, Meta(ge=1, le=7, description="relays that serve a destination; the same at each machine")
    ] = 3


class Operator(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The whole file."""

    format: Annotated[Literal[1], Meta(description="the version of this format; a file must name it")] = (
        FORMAT
    )
    log: Log = Log()
    directory: Directory = Directory()
    ends: Ends = Ends()
    peers: Peers = Peers()
    control: Control = Control()


def rules(chosen: Operator) -> list[tuple[str, str]]:
    """Faults in combinations of keys: (dotted key, problem)."""
    if chosen.ends.sink == "file" and not chosen.ends.path:
        return [("ends.path", "must name a file where ends.sink is file")]
    if chosen.ends.path and chosen.ends.sink != "file":
        return [("ends.path", "is unused where ends.sink is platform")]
    return peers_rules(chosen.peers) or control_rules(chosen.control)


def peers_rules(peers: Peers) -> list[tuple[str, str]]:
    """Faults of [peers] in combinations of keys: (dotted key, problem)."""
    names = [relay.name for relay in peers.relays]
    if not peers.cluster:
        return [("peers.cluster", "must be named where there are peers.relays")] if names else []
    for relay in peers.relays:
        if not _is_address(relay.address):
            return [("peers.relays", f"{relay.name}: {relay.address} must be address:port")]
    if duplicates := sorted({name for name in names if names.count(name) > 1}):
        return [("peers.relays", f"names {duplicates[0]} twice")]
    if len({relay.address for relay in peers.relays}) < len(names):
        return [("peers.relays", "has one address twice")]
    if peers.name and peers.name not in names:
        return [("peers.name", f"is {peers.name}, which peers.relays does not name")]
    if peers.guards > len(names) - 1:
        return [("peers.guards", f"is {peers.guards}, but there are {max(0, len(names) - 1)} other relays")]
    return []


def control_rules(control: Control) -> list[tuple[str, str]]:
    """Faults of [control] in combinations of keys: (dotted key, problem)."""
    names = [machine.name for machine in control.machines]
    if not control.cluster:
        return [("control.cluster", "must be named where there are control.machines")] if names else []
    for machine in control.machines:
        if not _is_address(machine.address):
            return [("control.machines", f"{machine.name}: {machine.address} must be address:port")]
    if duplicates := sorted({name for name in names if names.count(name) > 1}):
        return [("control.machines", f"names {duplicates[0]} twice")]
    if len({machine.address for machine in control.machines}) < len(names):
        return [("control.machines", "has one address twice")]
    if not any(machine.voter for machine in control.machines):
        return [("control.machines", "has no voter: no change could ever be accepted")]
    if control.role == "machine" and control.name not in names:
        return [("control.name", f"is {control.name!r}, which control.machines does not name")]
    return []


def _is_address(text: str) -> bool:
    host, _, port = text.rpartition(":")
    return bool(host) and port.isascii() and port.isdigit() and 0 < int(port) < 65536
