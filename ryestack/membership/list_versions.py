"""Versions of the endpoint list with where and when they came from, and which of them goes first. Pure.

A registry numbers the versions of its list. A number is comparable only with numbers of the same registry,
and not even with those if the registry has begun again at lower ones. So each version carries the address of
its registry and the time at which the registry last confirmed it, which all processes of a machine compare.
"""

import json
import zlib
from dataclasses import dataclass, fields, replace
from enum import Enum

REMOVED = "removed"  # the status of an endpoint that is no longer listed
DRAINING = "draining"  # the status of an endpoint that wants nothing new, and the state of its route
MAX_CONFIGURED_LISTS = 8  # identities of configured lists that are remembered, the latest ones


class Source(Enum):
    """Where the list of a start comes from; the values appear in the log and as labels of a metric."""

    CONFIGURATION = "configuration"
    FOLDER = "folder"  # saved by a process before this one
    PREDECESSOR = "predecessor"  # sent by the process that this one replaces
    REGISTRY = "registry"


@dataclass(frozen=True, slots=True)
class ListChange:
    """A whole list, or the rows that changed since another version, in the registry's form.

    registry: the address that it came from. since: the version that the rows are changes to, None for a whole
    list. confirmed_at: when the answer that gave it was requested, a time of the machine's monotonic clock,
    -inf if unknown. configured: identities of the lists of configurations that it supersedes.
    generation: how often the registry moved or began again at lower versions, as far as seen.
    """

    registry: str
    version: int
    rows: tuple[dict, ...]
    confirmed_at: float
    since: int | None = None
    configured: tuple[str, ...] = ()
    generation: int = 0

    def as_fields(self) -> dict:
        """As plain values for JSON."""
        return {field.name: getattr(self, field.name) for field in fields(self)}


@dataclass(frozen=True, slots=True)
class KnownList:
    """A whole list: ListChange without `since`, with its rows by the endpoint's name."""

    registry: str
    version: int
    rows: dict[str, dict]
    confirmed_at: float
    configured: tuple[str, ...] = ()
    generation: int = 0


def read_change(values: dict) -> ListChange:
    """The change of `ListChange.as_fields`; raises KeyError, TypeError or ValueError."""
    rows = tuple({**row, "name": str(row["name"])} for row in values["rows"])
    since = values["since"]
    return ListChange(
        registry=str(values["registry"]),
        version=int(values["version"]),
        rows=rows,
        confirmed_at=float(values["confirmed_at"]),
        since=None if since is None else int(since),
        configured=tuple(str(identity) for identity in values["configured"]),
        generation=int(values["generation"]),
    )


def is_newer(change: ListChange, known: KnownList) -> bool:
    """Whether a change applies to a list.

    Changes apply if none between the two versions is missing. A whole list applies if its version is no
    older, or, from another registry, if it was confirmed no earlier.
    """
    if change.registry != known.registry:
        return change.since is None and change.confirmed_at >= known.confirmed_at
    if change.since is None:
        return (change.generation, change.version) >= (known.generation, known.version)
    return change.generation == known.generation and change.since <= known.version <= change.version


def applied(known: KnownList | None, change: ListChange) -> KnownList | None:
    """The list after the change, which is the same list if the change does not apply."""
    if known is None:
        return None if change.since is not None else known_list(change)
    if not is_newer(change, known):
        return known
    rows = {} if change.since is None else dict(known.rows)
    for row in change.rows:
        rows[row["name"]] = row
        if row.get("status") == REMOVED:
            del rows[row["name"]]
    confirmed_at = max(change.confirmed_at, known.confirmed_at)
    return KnownList(
        change.registry, change.version, rows, confirmed_at, change.configured, change.generation
    )


def known_list(change: ListChange) -> KnownList:
    """The list of a change that holds it whole; raises ValueError if it does not."""
    if change.since is not None:
        raise ValueError(f"the changes since version {change.since}, must be a whole list")
    rows = {row["name"]: row for row in change.rows}
    facts = change.confirmed_at, change.configured, change.generation
    return KnownList(change.registry, change.version, rows, *facts)


def identity(document: dict) -> str:
    """Identifies the list of a configuration by its content."""
    text = json.dumps(document, sort_keys=True).encode()
    return f"{len(text)}:{zlib.crc32(text):08x}"


def remembered_identities(before: tuple[str, ...], added: tuple[str, ...]) -> tuple[str, ...]:
    """Identities of superseded lists of configurations, the latest last."""
    return tuple(dict.fromkeys((*(i for i in before if i not in added), *added)))[-MAX_CONFIGURED_LISTS:]


@dataclass(frozen=True, slots=True)
class InitialList:
    """The list that a start goes by. withheld: endpoints that get nothing new until the registry has told the
    whole list."""

    known: KnownList
    source: Source
    withheld: frozenset[str] = frozenset()


def choose(configured: KnownList, saved: KnownList | None, handed: KnownList | None) -> InitialList:
    """The list for a start: the newest one.

    configured: that of the configuration, which may be old, with its identity as the only one in
    `configured`; saved: that of the folder; handed: that of the predecessor.
    """
    followed, source = (handed, Source.PREDECESSOR) if handed else (saved, Source.FOLDER)
    if handed and saved and saved.confirmed_at > handed.confirmed_at:
        followed, source = saved, Source.FOLDER
    if followed is None:
        return InitialList(configured, Source.CONFIGURATION)
    if not set(configured.configured) <= set(followed.configured):  # written since a process read it last
        if configured.registry != followed.registry and not handed:
            return InitialList(configured, Source.CONFIGURATION, _disputed(configured, followed))
        comparable = configured.registry == followed.registry and not followed.generation
        if comparable and configured.version > followed.version:
            return InitialList(configured, Source.CONFIGURATION)
    identities = remembered_identities(followed.configured, configured.configured)
    return InitialList(replace(followed, configured=identities), source)


def _disputed(configured: KnownList, followed: KnownList) -> frozenset[str]:
    """Endpoints of a list that may be older than another one by which they drain, or by which they or their
    addresses belong to another destination."""
    destinations = {str(row["address"]): int(row["group"]) for row in followed.rows.values()}
    disputed = set()
    for name, row in configured.rows.items():
        destination, other = int(row["group"]), followed.rows.get(name, row)
        has_moved = int(other["group"]) != destination
        is_reused = destinations.get(str(row["address"]), destination) != destination
        if has_moved or is_reused or other["status"] == DRAINING:
            disputed.add(name)
    return frozenset(disputed)


def withhold_unlearnt(initial: InitialList, learnt_states: dict[str, str]) -> InitialList:
    """The initial list where the process before has told which routes it had, but not its list.

    Older builds do not hand on their list. learnt_states: the state of each of its routes, by name.
    """
    if initial.source is not Source.CONFIGURATION:
        return initial
    withheld = {name for name in initial.known.rows if learnt_states.get(name, DRAINING) == DRAINING}
    return replace(initial, withheld=initial.withheld | withheld)
