"""The configuration of a relay: the file that LB_CONFIG names, and the folder LB_STATE."""

import json
import os
from dataclasses import dataclass

from .. import interface
from ..operator.schema import Operator
from ..settings import BadSettings, InconsistentSettings, check_shape, first_missing_key, read_settings
from ..wire.members import INVALID_VALUE_ERRORS, BadList, read_list

MEGABYTE = 1_000_000  # bytes


class BadConfig(Exception):
    """An unusable configuration; the text has one line for each fault."""


class MixedDeployment(BadConfig):
    """A configuration that mixes the options of two deployment shapes."""


@dataclass(frozen=True, slots=True)
class Config:
    """A relay's configuration as parsed. The event config.later names these fields, so they keep their
    names."""

    name: str
    host: str
    port: int
    ops: tuple[str, int] | None  # the second address, for operators
    discovery: str
    state: str
    seed: int
    sockets: int
    disk: int
    memory: int  # bytes, 0 if no limit is stated
    known: dict
    settings: interface.Settings
    operator: Operator
    document: dict  # the parsed file, without the endpoint list


def load(
    environ=os.environ,
    operator=None,
    flags=None,
    chosen: Operator | None = None,
    before: Config | None = None,
) -> Config:
    """Load the platform's configuration and the operator's choices; raises BadConfig, one line per fault.

    operator: the path of the operator file; flags: dotted key to text; chosen: choices loaded already;
    before: the configuration in force, whose choices are kept, and of whose keys none may be missing now.
    """
    chosen = before.operator if before else chosen or choose(environ, operator, flags)
    path, state = environ.get("LB_CONFIG"), environ.get("LB_STATE")
    if not path or not state:
        raise BadConfig(
            f"LB_CONFIG is {path or 'not set'}, must name the configuration file; "
            f"LB_STATE is {state or 'not set'}, must name a persistent folder"
        )
    if not os.path.isdir(state):
        raise BadConfig(f"LB_STATE: {state} is not a folder")
    try:
        with open(path, "rb") as file:
            document = json.load(file)
    except OSError as problem:
        raise BadConfig(f"{path}: {problem.strerror}") from None
    except (ValueError, RecursionError) as problem:
        raise BadConfig(f"{path}: not JSON: {problem}") from None
    if before and (key := first_missing_key(document, before.document)):
        raise BadConfig(f"{path}: {key} is missing, the configuration in force has it")
    try:
        return read(document, state, chosen, environ.get("LB_OPS"))
    except InconsistentSettings as problem:
        raise MixedDeployment(f"{path}: {problem}") from None
    except (BadSettings, BadList) as problem:
        raise BadConfig(f"{path}: {problem}") from None
    except (*INVALID_VALUE_ERRORS, AttributeError) as problem:
        raise BadConfig(f"{path}: a value of the wrong kind: {problem}") from None


def choose(environ, operator: str | None, flags: dict | None) -> Operator:
    """The operator's choices; raises BadConfig.

    The code that reads and checks them is imported only if there are some: most relays have none.
    """
    if not operator and not flags and not any(name.startswith("RYESTACK_") for name in environ):
        return Operator()
    from ..operator import layers

    try:
        return layers.choose(operator, environ, flags).values
    except layers.BadOperator as error:
        raise BadConfig(str(error)) from None


def _check_peers(chosen: Operator, document: dict, settings: interface.Settings) -> str:
    """What is wrong with the peers for this relay, "" if nothing."""
    peers = chosen.peers
    if not peers.cluster:
        return ""
    if (peers.name or document.get("name")) not in [relay.name for relay in peers.relays]:
        return f"peers.relays does not name this relay, {peers.name or document.get('name')}"
    if peers.lease < 2.0 * settings.connect_timeout:
        return f"peers.lease is {peers.lease:g} s, must be twice allowed.connectTimeoutMs at least"
    return ""


def _settings(options: dict, document: dict, chosen: Operator) -> interface.Settings:
    settings = read_settings(options)
    check_shape(options)
    if peers_fault := _check_peers(chosen, document, settings):
        raise BadConfig(peers_fault)
    if settings.asks_for_list and chosen.directory.source == "fixed":
        raise InconsistentSettings(
            "options.discovery is ask, but directory.source is fixed: nothing would be asked"
        )
    return settings


def settings_of(options: dict, config: Config) -> interface.Settings:
    """Settings from their JSON object, for a relay of that configuration; raises BadConfig."""
    try:
        return _settings(options, config.document, config.operator)
    except InconsistentSettings as problem:
        raise MixedDeployment(str(problem)) from None
    except BadSettings as problem:
        raise BadConfig(str(problem)) from None
    except (*INVALID_VALUE_ERRORS, AttributeError) as problem:
        raise BadConfig(f"a value of the wrong kind: {problem}") from None


def read(document: dict, state: str, chosen: Operator, ops: str | None = None) -> Config:
    """The configuration of a parsed file. ops: the second address of this process, in place of the file's,
    for two processes that read one file."""

    def need(table, key, kind):
        value = table.get(key) if isinstance(table, dict) else None
        if not isinstance(value, kind) or isinstance(value, bool):
            raise BadConfig(f"{key} is missing or has the wrong type")
        return value

    def optional_number(table, key):
        return need(table, key, (int, float)) if table.get(key) is not None else 0

    def address(key, text=None):
        text = need(document, key, str) if text is None else text
        host, _, port = text.rpartition(":")
        if not host or not port.isascii() or not port.isdigit() or int(port) > 65535:
            raise BadConfig(f"{key} is {text!r}, must be address:port with a port of 65535 at most")
        return host, int(port)

    (host, port), _ = address("listen"), address("discovery")
    ops_address = address("ops", ops or None) if ops or document.get("ops") is not None else None
    limits, known = need(document, "limits", dict), need(document, "known", dict)
    read_list(known, {})
    try:
        seed = int(str(document.get("seed", "")), 16)
    except ValueError:
        raise BadConfig(f"seed is {document.get('seed')!r}, must be hex digits") from None
    settings = _settings(need(document, "settings", dict), document, chosen)
    return Config(
        name=need(document, "name", str),
        host=host,
        port=port,
        ops=ops_address,
        discovery=need(document, "discovery", str),
        state=state,
        seed=seed,
        sockets=need(limits, "sockets", int),
        disk=int(need(limits, "disk_mb", (int, float)) * MEGABYTE),
        memory=int(optional_number(limits, "memory_mb") * MEGABYTE),
        known=known,
        settings=settings,
        operator=chosen,
        document={**document, "known": {}},
    )
