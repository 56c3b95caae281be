"""The stage file: which endpoints there are, how they behave, what changes when. TOML, checked strictly."""

import tomllib
from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from ..operator.checks import Fault, check, keys_of, line_of

MODES = (
    "ok", "refuse", "error", "full", "silent", "lost", "hang", "slow", "reset-before", "reset-after", "cold",
)  # fmt: skip
Mode = Literal[MODES]
Seconds = Annotated[float, Meta(ge=0, le=86400)]


class Pace(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How long a call runs."""

    shape: Annotated[
        Literal["fixed", "exponential", "lognormal"], Meta(description="the distribution of running times")
    ] = "lognormal"
    mean: Annotated[float, Meta(ge=0, le=3600, description="seconds")] = 0.03
    sigma: Annotated[float, Meta(ge=0, le=4, description="of the logarithm, for `lognormal`")] = 0.5


class Endpoint(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One endpoint of a partner."""

    name: Annotated[str, Meta(min_length=1, max_length=64, description="as in the platform's list")]
    destination: Annotated[int, Meta(ge=0, le=999_999_999, description="the destination it serves")]
    address: Annotated[str, Meta(description="host:port on loopback; port 0 takes a free one")] = (
        "127.0.0.1:0"
    )
    kind: Annotated[str, Meta(description="a kind of the platform's settings")] = "shop"
    zone: Annotated[str, Meta(description="passed on in the list")] = "here"
    weight: Annotated[float, Meta(gt=0, le=1e9, description="calls a second told in the list")] = 50.0
    pace: Pace = Pace()
    slots: Annotated[int, Meta(ge=1, le=100_000, description="calls that run at once")] = 16
    queue: Annotated[int, Meta(ge=0, le=100_000, description="calls that wait for a slot")] = 32
    limit: Annotated[float, Meta(ge=0, le=1e9, description="calls in a span; 0: no limit")] = 0.0
    span: Annotated[float, Meta(gt=0, le=3600, description="seconds")] = 1.0
    tell_wait: Annotated[bool, Meta(description="over the limit: 429 with a wait, else 503")] = True
    refused_count: Annotated[bool, Meta(description="calls over the limit use it up too")] = False
    many: Annotated[int, Meta(ge=1, le=10_000, description="notifications in a call")] = 1
    report: Annotated[bool, Meta(description="answers carry a load report")] = False
    runs_in_error: Annotated[
        float, Meta(ge=0, le=1, description="the part of calls answered 500 whose effect came about")
    ] = 0.0
    cold_time: Annotated[float, Meta(ge=0, le=3600, description="seconds of warm-up after `cold`")] = 5.0
    cold_share: Annotated[float, Meta(gt=0, le=1, description="of `weight` that it takes just after")] = 0.3
    fall_factor: Annotated[float, Meta(ge=1, le=100, description="over so much of it, it falls again")] = 1.5
    fall_time: Annotated[float, Meta(gt=0, le=60, description="seconds over which that is counted")] = 1.0
    fall_for: Annotated[float, Meta(ge=0, le=3600, description="seconds that a fall lasts")] = 2.0


class Change(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One change on the timeline."""

    after: Annotated[float, Meta(ge=0, le=86400, description="seconds from the start")]
    endpoint: Annotated[str, Meta(description="its name, or `*` for all")] = "*"
    mode: Annotated[Mode | None, Meta(description="how it behaves from then on")] = None
    factor: Annotated[float, Meta(ge=0, le=10_000, description="times the pace, in mode `slow`")] = 10.0
    wait: Annotated[float, Meta(ge=0, le=3600, description="seconds told in mode `full`; 0: none, 503")] = 0.0
    part: Annotated[float, Meta(ge=0, le=1, description="the part of calls that meet the mode")] = 1.0
    listed: Annotated[
        Literal["up", "draining", "removed"] | None, Meta(description="what the list says of it from then on")
    ] = None
    silence: Annotated[
        Literal["list", "notices", "all", "none"] | None,
        Meta(description="what the platform leaves unanswered"),
    ] = None


class Platform(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The platform's stand-in."""

    address: Annotated[str, Meta(description="host:port on loopback")] = "127.0.0.1:8500"
    control: Annotated[str, Meta(description="host:port of its control")] = "127.0.0.1:8501"


class Stage(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The whole file."""

    endpoint: list[Endpoint]
    at: list[Change] = []
    platform: Platform = Platform()
    control: Annotated[str, Meta(description="host:port of the partners' control")] = "127.0.0.1:8080"
    seed: Annotated[int, Meta(ge=0, description="of all chance on this stage")] = 1


class BadStage(Exception):
    """A stage that cannot be used; the text has a line a fault."""


def read(path: str) -> Stage:
    """The stage in a file; raises BadStage with all its faults."""
    try:
        with open(path, "rb") as file:
            text = file.read().decode()
        table = tomllib.loads(text)
    except OSError as problem:
        raise BadStage(f"{path}: {problem.strerror}") from None
    except (UnicodeDecodeError, tomllib.TOMLDecodeError, RecursionError) as problem:
        raise BadStage(f"{path}: is no TOML: {problem}") from None
    faults = [Fault(path, line_of(text, key), key, why) for key, why in faults_of(table)]
    if faults:
        raise BadStage("\n".join(map(str, faults)))
    return msgspec.convert(table, Stage)


def faults_of(table: dict) -> list[tuple[str, str]]:
    """(dotted key, what is wrong) for each fault, of values first, then of what they say together."""
    found = check(Stage, table, list(keys_of(Stage)))
    if found:
        return found
    stage = msgspec.convert(table, Stage)
    names = [e.name for e in stage.endpoint]
    twice = {n for n in names if names.count(n) > 1}
    found = [(f"endpoint[{i}].name", f"{n} is there twice") for i, n in enumerate(names) if n in twice]
    for i, change in enumerate(stage.at):
        if change.endpoint != "*" and change.endpoint not in names:
            found.append((f"at[{i}].endpoint", f"there is no endpoint {change.endpoint}"))
        if change.mode is None and change.listed is None and change.silence is None:
            found.append((f"at[{i}]", "changes nothing: mode, listed or silence is missing"))
    for i, endpoint in enumerate(stage.endpoint):
        found += _address(f"endpoint[{i}].address", endpoint.address)
    for key in ("control", "platform.address", "platform.control"):
        value = stage
        for part in key.split("."):
            value = getattr(value, part)
        found += _address(key, value)
    return found


def _address(key: str, text: str) -> list[tuple[str, str]]:
    host, _, port = text.rpartition(":")
    good = host.startswith("127.") or host in ("localhost", "[::1]")
    if good and port.isascii() and port.isdigit() and int(port) < 65536:
        return []
    return [(key, f"found {text}, must be host:port on loopback")]


def split(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)
