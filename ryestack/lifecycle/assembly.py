"""Puts a relay together: the ports that the configuration and the operator file name, round one owner."""

from dataclasses import dataclass

from ..ports import Directory, Dispatcher, Listener, NoticeSink
from ..store import remembered
from ..store.journal import Journal
from ..store.ledger import Ledger
from ..wire.calls import Calls
from ..wire.files import FileNotices
from ..wire.members import Catalog, Fixed
from ..wire.notices import Notices
from ..wire.platform import Platform
from ..wire.server import Clients
from .config import Config
from .owner import Owner
from .terms import Terms

OWN_SOCKETS = 32  # for the journal, the watch, notices, the log, what opens while others close
CLIENTS_PART = 0.28  # of all: the listener opens a third at most, and no more while idle ones fill that
SCOPE_PART = 8  # one in so many of the folder's bytes is for what control machines told
FEWEST = 8  # connections a side, however few descriptors there are
DIRECTORIES = {"catalog": Catalog, "fixed": Fixed}


@dataclass(slots=True)
class Parts:
    ledger: Ledger
    owner: Owner
    platform: Platform
    directory: Directory
    dispatcher: Dispatcher
    notices: NoticeSink
    listeners: list[Listener]
    terms: Terms
    peering: object = None  # where an operator file has peers
    control: object = None  # where it has control machines: the directory, then


def assemble(config: Config, clock, wall: float) -> Parts:
    """clock: seconds, of the loop; wall: added to it, it gives the wall's time."""
    settings, operator = config.settings, config.operator
    scoped = bool(operator.control.cluster)
    scope_bytes = config.disk // SCOPE_PART if scoped else 0
    journal_bytes = max(config.disk // 2, config.disk - remembered.MAX_TOTAL_BYTES - scope_bytes)
    ledger = Ledger(Journal(config.state, journal_bytes))
    owner = Owner(settings, config.seed, ledger, clock, wall)
    platform = Platform(config.discovery)
    if scoped:
        from .scope.directory import ScopeDirectory  # most relays have none

        directory = ScopeDirectory(
            operator.control, config.name, owner, config.state, scope_bytes, config.seed
        )
    else:
        directory = DIRECTORIES[operator.directory.source](platform, config.known)
    owner.directory = directory
    most = max(FEWEST, int(config.sockets * CLIENTS_PART))
    left = max(FEWEST, config.sockets - most - OWN_SOCKETS)
    members = directory.members
    owner.dispatcher = Calls(settings, members, clock, owner.put, left)
    if operator.ends.sink == "file":
        owner.notices = FileNotices(operator.ends.path, owner.told_platform)
    else:
        owner.notices = Notices(platform, owner.told_platform)
    at = (config.host, config.port)
    terms = Terms(settings)
    listener = Clients(settings, terms, members, clock, owner.hand_in, owner.withdraw, most, at)
    listener.server.unanswered = owner.unanswered
    peering = None
    if operator.peers.cluster:
        from .replication.peering import Peering  # most relays have none

        peering = Peering(operator.peers, config.name, owner, config.state, config.seed)
    control = directory if scoped else None
    return Parts(
        ledger,
        owner,
        platform,
        directory,
        owner.dispatcher,
        owner.notices,
        [listener],
        terms,
        peering,
        control,
    )
