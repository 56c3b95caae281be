"""The operator file's schema: every key with its default, what is allowed, and what it means.

docs/configuration.md and the JSON Schema are made from these. No constant of a decision belongs here: what
the relay decides is the same at every installation.
"""

from typing import Annotated, Literal

import msgspec
from msgspec import Meta

FORMAT = 1


class Log(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What is written to standard error."""

    format: Annotated[
        Literal["text", "json"], Meta(description="`text` for people, `json`: an object a line")
    ] = "text"
    level: Annotated[
        Literal["DEBUG", "INFO", "WARNING", "ERROR"], Meta(description="the least level that is written")
    ] = "INFO"
    repeat: Annotated[
        float,
        Meta(ge=0, le=3600, description="seconds between equal lines: one is written, then a count; 0: all"),
    ] = 10.0
    summary: Annotated[float, Meta(ge=1, le=3600, description="seconds between summary lines")] = 10.0


class Directory(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Where the relay learns which endpoints there are."""

    source: Annotated[
        Literal["catalog", "fixed"],
        Meta(description="`catalog`: the platform's registry, watched; `fixed`: the first list, for good"),
    ] = "catalog"


class Ends(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Where final answers go that no client waits for."""

    sink: Annotated[
        Literal["platform", "file"],
        Meta(description="`platform`: notices are posted to it; `file`: JSON lines are appended to `path`"),
    ] = "platform"
    path: Annotated[str, Meta(max_length=4096, description="the file, where `sink` is `file`")] = ""


class Peer(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One relay of the cluster."""

    name: Annotated[str, Meta(max_length=64, description="its name, as in its own configuration")]
    address: Annotated[str, Meta(max_length=255, description="where its peers reach it, address:port")]
    zone: Annotated[str, Meta(max_length=64, description="what it shares a fate with")] = ""


class Peers(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Relays that guard each other's work in hand; off where `cluster` is empty."""

    cluster: Annotated[
        str,
        Meta(max_length=64, description="its name; what comes from another cluster is refused; empty: off"),
    ] = ""
    name: Annotated[
        str, Meta(max_length=64, description="which of `relays` this one is; empty: the relay's own name")
    ] = ""
    relays: Annotated[
        list[Peer], Meta(description="all of the cluster, this one among them, the same at each")
    ] = []
    guards: Annotated[
        int, Meta(ge=1, le=6, description="others that hold what one owes; a majority with it must be there")
    ] = 2
    lease: Annotated[
        float, Meta(ge=1, le=60, description="seconds that a lost relay's work waits before another goes on")
    ] = 3.0
    alone: Annotated[
        Literal["serve", "refuse"],
        Meta(description="with no guard in reach: `serve` new work uncovered, or `refuse` it with a time"),
    ] = "serve"


class Operator(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The whole file."""

    format: Annotated[Literal[1], Meta(description="the version of this format; a file must name it")] = (
        FORMAT
    )
    log: Log = Log()
    directory: Directory = Directory()
    ends: Ends = Ends()
    peers: Peers = Peers()


def rules(chosen: Operator) -> list[tuple[str, str]]:
    """Faults that no single key shows: (dotted key, what is wrong)."""
    if chosen.ends.sink == "file" and not chosen.ends.path:
        return [("ends.path", "must name a file where ends.sink is file")]
    if chosen.ends.path and chosen.ends.sink != "file":
        return [("ends.path", "has no use where ends.sink is platform")]
    return peers_rules(chosen.peers)


def peers_rules(peers: Peers) -> list[tuple[str, str]]:
    names = [relay.name for relay in peers.relays]
    if not peers.cluster:
        return [("peers.cluster", "must be named where there are peers.relays")] if names else []
    for relay in peers.relays:
        host, _, port = relay.address.rpartition(":")
        if not host or not port.isascii() or not port.isdigit() or not 0 < int(port) < 65536:
            return [("peers.relays", f"{relay.name}: {relay.address} must be address:port")]
    if twice := sorted({name for name in names if names.count(name) > 1}):
        return [("peers.relays", f"names {twice[0]} twice")]
    if len({relay.address for relay in peers.relays}) < len(names):
        return [("peers.relays", "has one address twice")]
    if peers.name and peers.name not in names:
        return [("peers.name", f"is {peers.name}, which peers.relays does not name")]
    if peers.guards > len(names) - 1:
        return [("peers.guards", f"is {peers.guards}, but there are {max(0, len(names) - 1)} other relays")]
    return []
