"""The stage file (TOML, validated strictly): the endpoints, their behaviour, and the timeline of changes."""

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
    """Distribution of the run time of calls."""

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
    weight: Annotated[float, Meta(gt=0, le=1e9, description="calls a second, as given in the list")] = 50.0
    pace: Pace = Pace()
    slots: Annotated[int, Meta(ge=1, le=100_000, description="calls that run at once")] = 16
    queue: Annotated[int, Meta(ge=0, le=100_000, description="calls that wait for a slot")] = 32
    limit: Annotated[float, Meta(ge=0, le=1e9, description="calls per span; 0: no limit")] = 0.0
    span: Annotated[float, Meta(gt=0, le=3600, description="seconds")] = 1.0
    tell_wait: Annotated[bool, Meta(description="over the limit: 429 with a wait if true, else 503")] = True
    refused_count: Annotated[bool, Meta(description="whether refused calls count against the limit")] = False
    many: Annotated[int, Meta(ge=1, le=10_000, description="maximum notifications in a call")] = 1
    report: Annotated[bool, Meta(description="answers carry a load report")] = False
    runs_in_error: Annotated[
        float, Meta(ge=0, le=1, description="fraction of calls answered 500 that take effect")
    ] = 0.0
    cold_time: Annotated[float, Meta(ge=0, le=3600, description="seconds of warm-up after `cold`")] = 5.0
    cold_share: Annotated[
        float, Meta(gt=0, le=1, description="fraction of `weight` accepted at the start of the warm-up")
    ] = 0.3
    fall_factor: Annotated[
        float, Meta(ge=1, le=100, description="cold, it goes down at calls over this many times its share")
    ] = 1.5
    fall_time: Annotated[
        float, Meta(gt=0, le=60, description="seconds over which these calls are counted")
    ] = 1.0
    fall_for: Annotated[float, Meta(ge=0, le=3600, description="seconds that it then stays down")] = 2.0


class Change(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One change on the timeline."""

    after: Annotated[float, Meta(ge=0, le=86400, description="seconds from the start")]
    endpoint: Annotated[str, Meta(description="its name, or `*` for all")] = "*"
    mode: Annotated[Mode | None, Meta(description="behaviour from then on")] = None
    factor: Annotated[float, Meta(ge=0, le=10_000, description="multiplies run times in mode `slow`")] = 10.0
    wait: Annotated[
        float, Meta(ge=0, le=3600, description="retry-after seconds in mode `full`; 0: 503 without one")
    ] = 0.0
    part: Annotated[float, Meta(ge=0, le=1, description="fraction of calls that the mode applies to")] = 1.0
    listed: Annotated[
        Literal["up", "draining", "removed"] | None, Meta(description="status in the list from then on")
    ] = None
    silence: Annotated[
        Literal["list", "notices", "all", "none"] | None,
        Meta(description="requests that the platform leaves unanswered"),
    ] = None


class Platform(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Addresses of the platform stand-in."""

    address: Annotated[str, Meta(description="host:port on loopback")] = "127.0.0.1:8500"
    control: Annotated[str, Meta(description="host:port of its control interface")] = "127.0.0.1:8501"


class Stage(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The whole file."""

    endpoint: list[Endpoint]
    at: list[Change] = []
    platform: Platform = Platform()
    control: Annotated[str, Meta(description="host:port of the partners' control interface")] = (
        "127.0.0.1:8080"
    )
    seed: Annotated[int, Meta(ge=0, description="seed of all random generators of the stage")] = 1


class BadStage(Exception):
    """The stage is invalid; the text has one line per fault."""


def read(path: str) -> Stage:
    """Reads and validates a stage file; raises BadStage with all faults found."""
    try:
        with open(path, "rb") as file:
            text = file.read().decode()
        table = tomllib.loads(text)
    except OSError as problem:
        raise BadStage(f"{path}: {problem.strerror}") from None
    except (UnicodeDecodeError, tomllib.TOMLDecodeError, RecursionError) as problem:
        raise BadStage(f"{path}: not valid TOML: {problem}") from None
    faults = [Fault(path, line_of(text, key), key, why) for key, why in faults_of(table)]
    if faults:
        raise BadStage("\n".join(map(str, faults)))
    return msgspec.convert(table, Stage)


def faults_of(table: dict) -> list[tuple[str, str]]:
    """Returns (dotted key, message) for each fault: of single values, else of contradicting values."""
    faults = check(Stage, table, list(keys_of(Stage)))
    if faults:
        return faults
    stage = msgspec.convert(table, Stage)
    names = [endpoint.name for endpoint in stage.endpoint]
    duplicates = {name for name in names if names.count(name) > 1}
    faults = [
        (f"endpoint[{i}].name", f"{name} is used twice") for i, name in enumerate(names) if name in duplicates
    ]
    for i, change in enumerate(stage.at):
        if change.endpoint != "*" and change.endpoint not in names:
            faults.append((f"at[{i}].endpoint", f"no endpoint named {change.endpoint}"))
        if change.mode is None and change.listed is None and change.silence is None:
            faults.append((f"at[{i}]", "has no effect: one of mode, listed and silence is required"))
    for i, endpoint in enumerate(stage.endpoint):
        faults += _address(f"endpoint[{i}].address", endpoint.address)
    for key in ("control", "platform.address", "platform.control"):
        value = stage
        for part in key.split("."):
            value = getattr(value, part)
        faults += _address(key, value)
    return faults


def _address(key: str, text: str) -> list[tuple[str, str]]:
    """The fault of an address that is not host:port on loopback, if any."""
    host, _, port = text.rpartition(":")
    is_loopback = host.startswith("127.") or host in ("localhost", "[::1]")
    if is_loopback and port.isascii() and port.isdigit() and int(port) < 65536:
        return []
    return [(key, f"found {text}, must be host:port on loopback")]


def split(address: str) -> tuple[str, int]:
    """Splits host:port; the brackets of an IPv6 host are removed."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)
