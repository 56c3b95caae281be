"""Registry of all log events: level, fields, meaning, and what on-call staff do about them.

The first table of docs/oncall.md is generated from it (`observe.pages`).
"""

from dataclasses import dataclass

from . import registry_control, registry_faults, registry_list, registry_machine


@dataclass(frozen=True, slots=True)
class Event:
    """fields: names of the log fields, in order; repeat_key: the field by which repeated lines are recognized
    and suppressed, "*" if all lines of the event count as repeated, "" if each is written."""

    name: str
    level: str
    fields: tuple[str, ...]
    meaning: str
    todo: str = "nothing"
    repeat_key: str = ""


def _events(*rows: tuple) -> dict[str, Event]:
    events = [Event(name, level, tuple(fields.split()), *rest) for name, level, fields, *rest in rows]
    return {event.name: event for event in events}


EVENTS = _events(
    *registry_faults.FAULT_ROWS,
    (
        "call.fault",
        "ERROR",
        "endpoint",
        "a call to an endpoint failed by a bug of the relay (with traceback); its notification may have run",
        "keep the log and the state folder, and report it to the maintainers",
        "endpoint",
    ),
    (
        "config.kept",
        "WARNING",
        "why",
        "a configuration reload found an unusable file; the old configuration stays in force",
        "correct the file and send SIGHUP again",
        "*",
    ),
    (
        "config.later",
        "WARNING",
        "keys",
        "a configuration reload changed keys that take effect only at the next start",
        "restart the relay when convenient",
    ),
    *registry_control.CONTROL_ROWS,
    (
        "ends.blocked",
        "WARNING",
        "why",
        "final answers are not accepted; they are kept and retried, also after a restart",
        "check the platform, or the file of `ends.path`; `owed` grows meanwhile",
        "*",
    ),
    ("ends.flowing", "INFO", "", "final answers are accepted again"),
    (
        "front.full",
        "DEBUG",
        "bound",
        "a client connection beyond the limit is answered 503: no open one is idle or stands still",
        "add relays, or raise the limit of file descriptors",
        "*",
    ),
    ("front.stale", "DEBUG", "waited", "a hand-in whose client had given up was answered 503 unparsed"),
    (
        "journal.adopted",
        "INFO",
        "file owed",
        "this process took over the journal file of a process that has ended",
    ),
    *registry_machine.MACHINE_ROWS,
    (
        "journal.blocked",
        "ERROR",
        "why",
        "the journal cannot be written; nothing new is accepted or pushed, pushes in flight continue",
        "free space in the state folder at once: a restart now would lose what could not be written",
        "*",
    ),
    ("journal.flowing", "INFO", "", "the journal can be written again"),
    (
        "journal.torn",
        "WARNING",
        "records bytes",
        "invalid records, or a torn record at the end of the journal, were dropped at the start",
        "nothing after a kill: the client of a torn record got no answer; without a kill, check the disk",
    ),
    *registry_list.LIST_ROWS,
    ("heir.serves", "INFO", "", "the successor process serves clients; a stop now hands them over"),
    ("kin.gone", "INFO", "", "the other process of this relay has ended; what it still owed is taken over"),
    ("line.broken", "WARNING", "why", "the connection to the other process of an upgrade broke", "its log"),
    (
        "line.none",
        "WARNING",
        "why",
        "the socket for upgrades could not be opened: one would use the journal lock and a shared port only",
        "check the state folder's file system",
    ),
    (
        "log.repeated",
        "INFO",
        "of count",
        "`count` more lines of that event were suppressed in the last period",
        "as for that event",
    ),
    (
        "phase.changed",
        "INFO",
        "phase why",
        "the relay entered another phase; after `settled` nothing is owed, after `time is short` the rest is "
        "left to the next start with this folder",
        "after a planned stop: start it again with the same folder",
    ),
    (
        "ntf.taken",
        "DEBUG",
        "id destination topic pushes",
        "a notification was accepted, or is resumed from its history after a start",
    ),
    ("ntf.ended", "DEBUG", "id how after", "a notification that was not delivered got its final answer"),
    ("platform.moved", "INFO", "address", "the watch of the registry and the notices now use this address"),
    (
        "staff.open",
        "INFO",
        "address",
        "the staff endpoints are served at this address: /-/ready, /-/metrics, drain, resume",
    ),
    (
        "peer.changed",
        "WARNING",
        "peer state",
        "another relay is there, quiet (silent for a lease), gone (for ten leases), or left",
        "quiet or gone: check that relay; its guards continue its work",
        "peer",
    ),
    (
        "peer.refuses",
        "WARNING",
        "peer why",
        "another relay refuses messages of this one; they have no effect",
        "use the same `peers` at all relays, each name once",
        "peer",
    ),
    (
        "peer.senseless",
        "WARNING",
        "peer why",
        "its reply is invalid",
        "check its version and address",
        "peer",
    ),
    (
        "relay.ended",
        "ERROR",
        "why",
        "the process ends with status 1: its address is in use, or its state folder cannot be written",
        "as `why` says",
    ),
    (
        "relay.fault",
        "CRITICAL",
        "",
        "the process ends with status 1 because of a bug; what is owed is in the state folder",
        "start it again; if it ends like this each time, move the folder aside (`ryestack journal show` "
        "lists what is owed there) and report it to the maintainers",
    ),
    (
        "relay.recovered",
        "INFO",
        "owed notices",
        "left by earlier starts: `owed` notifications are resumed, `notices` final answers are sent again",
        "a high number after each start: find out why the relay is killed",
    ),
    (
        "settings.changed",
        "INFO",
        "topics",
        "a reloaded configuration is in force; open notifications keep the rules they were accepted under",
    ),
    (
        "relay.summary",
        "INFO",
        "counts owed out clients journal cpu memory control_version control_age_seconds control_rejected",
        "counts since the start: pushes by result, notifications accepted, throttled, expired, refused; "
        "owed now, pushes in flight, clients connected, journal bytes, CPU seconds, maximum memory in MB",
        "see the table of troubles; `owed` and `memory` must not grow without limit",
    ),
    (
        "route.closed",
        "INFO",
        "route destination",
        "the route's circuit is closed: it is used as usual",
        "nothing",
        "route",
    ),
    ("route.drained", "INFO", "route destination", "it drains: no new pushes", "nothing", "route"),
    (
        "route.opened",
        "WARNING",
        "route destination why",
        "the route's circuit is open: no pushes for a while, then one trial",
        "see the table of troubles",
        "route",
    ),
    (
        "seat.acts",
        "INFO",
        "seat life owed epoch",
        "this relay may act on what that life of that relay accepted; `owed`: notifications it continues",
    ),
    (
        "seat.lapsed",
        "WARNING",
        "seat life",
        "too few guards in reach: guarded notifications wait until they are back",
        "check the links to its guards",
    ),
    (
        "seat.lost",
        "WARNING",
        "seat life epoch",
        "another relay continues that work",
        "find out why this relay was silent for a lease: a pause, a cut link",
    ),
)
