"""Builds a relay: the owner, and the adapters that the configuration and the operator file select."""

from dataclasses import dataclass

from ..membership.list_versions import ListChange
from ..ports import Directory, Dispatcher, Listener, NoticeSink
from ..store import folder_shares
from ..store.folder_shares import FolderShares
from ..store.journal import Journal
from ..store.ledger import Ledger
from ..store.timeline import read_clock
from ..wire import input_budget
from ..wire.calls import CallDispatcher
from ..wire.files import FileNotices
from ..wire.fixed_directory import FixedDirectory
from ..wire.notices import PlatformNotices
from ..wire.platform import PlatformClient
from ..wire.registry_directory import RegistryDirectory
from ..wire.server import ClientListener
from .admission import OWED_MEMORY_DIVISOR
from .config import Config
from .list_saver import ListSaver
from .owner import Owner
from .terms import Terms

RESERVED_SOCKETS = 32  # for the journal, the registry watch, notices, the log, and overlapping connections
# Of all descriptors: the listener opens a third at most, and no more while idle connections fill that.
CLIENT_SOCKET_SHARE = 0.28
MIN_CONNECTIONS = 8  # per side, however few descriptors there are


@dataclass(slots=True)
class Parts:
    """The components of one relay. peering: None unless the operator file has peers; control: the directory
    if the operator file names control machines, else None; list_saver: of the registry's list, None if none
    is followed."""

    ledger: Ledger
    owner: Owner
    platform: PlatformClient
    directory: Directory
    dispatcher: Dispatcher
    notices: NoticeSink
    listeners: list[Listener]
    terms: Terms
    peering: object = None
    control: object = None
    list_saver: ListSaver | None = None


def assemble(config: Config, clock, wall: float) -> Parts:
    """Build a relay. clock: returns the event loop's time in seconds; wall: the offset that converts it to
    wall-clock time."""
    settings, operator = config.settings, config.operator
    scoped = bool(operator.control.cluster)
    shares = folder_shares.divide(config.disk, scoped)
    ledger = Ledger(Journal(config.state, shares.journal))
    owner = Owner(settings, config.seed, ledger, clock, wall)
    if config.memory:
        owner.max_owed_bytes = config.memory // OWED_MEMORY_DIVISOR
    platform = PlatformClient(config.discovery)
    list_saver = None
    if scoped:
        from .scope.directory import ScopeDirectory  # imported only where it is used: most relays have none

        directory = ScopeDirectory(
            operator.control, config.name, owner, config.state, shares.scope, config.seed
        )
    elif operator.directory.source == "fixed":
        directory = FixedDirectory(platform, config.known)
        ListSaver(config.state, "").discard()
    else:
        directory, list_saver = _followed_directory(config, platform, owner, shares)
    owner.directory = directory
    max_clients = max(MIN_CONNECTIONS, int(config.sockets * CLIENT_SOCKET_SHARE))
    max_endpoint_connections = max(MIN_CONNECTIONS, config.sockets - max_clients - RESERVED_SOCKETS)
    members = directory.members
    owner.dispatcher = CallDispatcher(settings, members, clock, owner.put, max_endpoint_connections)
    if operator.ends.sink == "file":
        owner.notices = FileNotices(operator.ends.path, owner.notices_delivered)
    else:
        owner.notices = PlatformNotices(platform, owner.notices_delivered)
    address = (config.host, config.port)
    terms = Terms(settings)
    input_bytes = config.memory // input_budget.MEMORY_DIVISOR or input_budget.DEFAULT_BYTES
    listener = ClientListener(
        settings, terms, members, clock, owner.hand_in, owner.withdraw, max_clients, address, input_bytes
    )
    listener.server.on_unanswered_close = owner.unanswered
    peering = None
    if operator.peers.cluster:
        from .replication.peering import Peering  # imported only where it is used: most relays have none

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
        list_saver,
    )


def _followed_directory(
    config: Config, platform: PlatformClient, owner: Owner, shares: FolderShares
) -> tuple[RegistryDirectory, ListSaver]:
    """The directory that follows the registry, and what keeps its list for other processes of this relay."""
    list_saver = ListSaver(config.state, read_clock().boot, shares.list_file)

    def list_changed(change: ListChange) -> None:
        fields = change.as_fields()
        list_saver.save(fields)
        owner.notify_siblings("list", fields)

    saved = list_saver.load()
    directory = RegistryDirectory(platform, config.known, saved, list_changed, list_saver.stale)
    list_saver.follow(directory)
    return directory, list_saver
