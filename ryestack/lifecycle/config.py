"""What a live relay is told: the file that LB_CONFIG names, and the folder LB_STATE."""

import json
import os
from dataclasses import dataclass

from .. import interface
from ..operator.schema import Operator
from ..settings import BadSettings, MixedShapes, check_shape, lacking, read_settings
from ..wire.members import UNREADABLE, BadList, read_list


class BadConfig(Exception):
    """A configuration that cannot be used; the text says what is wrong in one line."""


class MixedDeployment(BadConfig):
    """It mixes two shapes of deployment: it cannot be used as it stands."""


@dataclass(frozen=True, slots=True)
class Config:
    name: str
    host: str
    port: int
    ops: tuple[str, int] | None  # the second address, for staff
    discovery: str
    state: str
    seed: int
    sockets: int
    disk: int
    known: dict
    settings: interface.Settings
    operator: Operator
    told: dict  # the file as it came, less the list


def load(
    environ=os.environ,
    operator=None,
    flags=None,
    chosen: Operator | None = None,
    before: Config | None = None,
) -> Config:
    """The platform's configuration and the operator's choices beside it; raises BadConfig, a line a fault.

    operator: the operator file; flags: dotted key to text; chosen: choices that stand already; before: what
    holds: its choices stand, and no key that it was told may be missing now.
    """
    chosen = before.operator if before else chosen or choose(environ, operator, flags)
    path, state = environ.get("LB_CONFIG"), environ.get("LB_STATE")
    if not path or not state:
        raise BadConfig("LB_CONFIG must name the configuration, LB_STATE a folder that lasts")
    if not os.path.isdir(state):
        raise BadConfig(f"LB_STATE: {state} is no folder")
    try:
        with open(path, "rb") as file:
            told = json.load(file)
    except OSError as problem:
        raise BadConfig(f"{path}: {problem.strerror}") from None
    except (ValueError, RecursionError) as problem:
        raise BadConfig(f"{path}: not JSON: {problem}") from None
    if before and (key := lacking(told, before.told)):
        raise BadConfig(f"{path}: {key} is missing")
    try:
        return read(told, state, chosen, environ.get("LB_OPS"))
    except MixedShapes as problem:
        raise MixedDeployment(f"{path}: {problem}") from None
    except (BadSettings, BadList) as problem:
        raise BadConfig(f"{path}: {problem}") from None
    except (*UNREADABLE, AttributeError) as problem:
        raise BadConfig(f"{path}: a value of the wrong kind: {problem}") from None


def choose(environ, operator: str | None, flags: dict | None) -> Operator:
    """The operator's choices; raises BadConfig.

    Most relays choose nothing: what reads and checks choices is loaded where there are some.
    """
    if not operator and not flags and not any(name.startswith("RYESTACK_") for name in environ):
        return Operator()
    from ..operator import layers

    try:
        return layers.choose(operator, environ, flags).values
    except layers.BadOperator as bad:
        raise BadConfig(str(bad)) from None


def _peers(chosen: Operator, told: dict, settings: interface.Settings) -> str:
    """What is wrong with the peers for this very relay, "" if nothing."""
    peers = chosen.peers
    if not peers.cluster:
        return ""
    if (peers.name or told.get("name")) not in [relay.name for relay in peers.relays]:
        return f"peers.relays does not name this relay, {peers.name or told.get('name')}"
    if peers.lease < 2.0 * settings.connect_timeout:
        return f"peers.lease is {peers.lease:g} s, must be twice allowed.connectTimeoutMs at least"
    return ""


def _settings(options: dict, told: dict, chosen: Operator) -> interface.Settings:
    settings = read_settings(options)
    check_shape(options)
    if peers_wrong := _peers(chosen, told, settings):
        raise BadConfig(peers_wrong)
    if settings.asks_for_list and chosen.directory.source == "fixed":
        raise MixedShapes("options.discovery is ask, but directory.source is fixed: nothing would be asked")
    return settings


def settings_of(options: dict, config: Config) -> interface.Settings:
    """Settings from their JSON object, for a relay of that configuration; raises BadConfig."""
    try:
        return _settings(options, config.told, config.operator)
    except MixedShapes as problem:
        raise MixedDeployment(str(problem)) from None
    except BadSettings as problem:
        raise BadConfig(str(problem)) from None
    except (*UNREADABLE, AttributeError) as problem:
        raise BadConfig(f"a value of the wrong kind: {problem}") from None


def read(told: dict, state: str, chosen: Operator, ops: str | None = None) -> Config:
    """ops: of this process alone, where two of them read one file; else the file tells it."""

    def need(table, key, kind):
        value = table.get(key) if isinstance(table, dict) else None
        if not isinstance(value, kind) or isinstance(value, bool):
            raise BadConfig(f"{key} is missing or has the wrong type")
        return value

    def address(key, said=None):
        host, _, port = (need(told, key, str) if said is None else said).rpartition(":")
        if not host or not port.isascii() or not port.isdigit() or int(port) > 65535:
            raise BadConfig(f"{key} must be address:port")
        return host, int(port)

    (host, port), _ = address("listen"), address("discovery")
    staff = address("ops", ops or None) if ops or told.get("ops") is not None else None
    limits, known = need(told, "limits", dict), need(told, "known", dict)
    read_list(known, {})
    try:
        seed = int(str(told.get("seed", "")), 16)
    except ValueError:
        raise BadConfig("seed must be hex digits") from None
    settings = _settings(need(told, "settings", dict), told, chosen)
    return Config(
        name=need(told, "name", str),
        host=host,
        port=port,
        ops=staff,
        discovery=need(told, "discovery", str),
        state=state,
        seed=seed,
        sockets=need(limits, "sockets", int),
        disk=int(need(limits, "disk_mb", (int, float)) * 1_000_000),
        known=known,
        settings=settings,
        operator=chosen,
        told={**told, "known": {}},
    )
