"""Every event that a relay's log may hold: its level, fields, meaning and what a person does about it.

The first table of docs/oncall.md is made from this (`observe.pages`).
"""

from dataclasses import dataclass

from . import registry_control, registry_faults, registry_machine


@dataclass(frozen=True, slots=True)
class Event:
    """fields: the names of what is told with it, in order; about: the field by which equal lines are held
    back where they repeat, "*" if all of the event are alike, "" if each is written."""

    name: str
    level: str
    fields: tuple[str, ...]
    meaning: str
    todo: str = "nothing"
    about: str = ""


def _events(*rows: tuple) -> dict[str, Event]:
    made = [Event(name, level, tuple(fields.split()), *rest) for name, level, fields, *rest in rows]
    return {e.name: e for e in made}


EVENTS = _events(
    *registry_faults.FAULT_ROWS,
    (
        "call.fault",
        "ERROR",
        "endpoint",
        "a call failed in this program, with its traceback; its notification may have run",
        "keep the log and the folder, and tell the maintainers",
        "endpoint",
    ),
    (
        "config.kept",
        "WARNING",
        "why",
        "a reread found a file that cannot be used; the old one stays",
        "correct it, send SIGHUP again",
        "*",
    ),
    (
        "config.later",
        "WARNING",
        "keys",
        "what else has changed holds from the next start",
        "restart when it suits",
    ),
    *registry_control.CONTROL_ROWS,
    (
        "ends.blocked",
        "WARNING",
        "why",
        "final answers are not taken; they are kept and tried again, also after a restart",
        "the platform, or the file of `ends.path`; `owed` grows meanwhile",
        "*",
    ),
    ("ends.flowing", "INFO", "", "final answers are taken again"),
    (
        "front.full",
        "DEBUG",
        "bound",
        "a connection past the bound was answered 503 or closed: none of those there is idle",
        "more relays, or more descriptors",
        "*",
    ),
    ("front.stale", "DEBUG", "waited", "a hand-in that its client had given up was answered 503 unparsed"),
    (
        "journal.adopted",
        "INFO",
        "file owed",
        "what a process that is gone left in a file of its own is this one's now",
    ),
    *registry_machine.MACHINE_ROWS,
    (
        "journal.blocked",
        "ERROR",
        "why",
        "the journal cannot be written; nothing new is taken or pushed, what is out goes on",
        "free space in the state folder at once: a restart now would lose what could not be written",
        "*",
    ),
    ("journal.flowing", "INFO", "", "the journal is written again"),
    (
        "journal.torn",
        "WARNING",
        "records bytes",
        "records that make no sense, or torn bytes at the end, were dropped at the start",
        "nothing after a kill: the client of a torn record got no answer; without one, the disk",
    ),
    (
        "list.blocked",
        "WARNING",
        "why",
        "the registry does not answer; the old list holds",
        "the registry; drains are learnt late meanwhile",
        "*",
    ),
    ("list.changed", "INFO", "version entries whole", "the registry told a change", "nothing", "*"),
    ("heir.serves", "INFO", "", "the process after this one serves clients; a stop now hands them over"),
    ("kin.gone", "INFO", "", "the other process of this relay is gone; what it still owed is taken over"),
    ("line.broken", "WARNING", "why", "the line to the other process of an upgrade broke off", "its log"),
    (
        "line.none",
        "WARNING",
        "why",
        "no line for an upgrade could be opened: one would work by the journal's lock and a shared port only",
        "the state folder's file system",
    ),
    ("list.flowing", "INFO", "", "the registry answers again"),
    (
        "list.row_bad",
        "WARNING",
        "version why",
        "an entry of the list cannot be read and was passed over; the others hold",
        "the registry's data",
        "*",
    ),
    (
        "log.repeated",
        "INFO",
        "of count",
        "so many more lines of that event were held back in the period that is over",
        "as for that event",
    ),
    (
        "phase.changed",
        "INFO",
        "phase why",
        "the relay's life has gone on; after `settled` nothing is owed, after `time is short` the rest is "
        "for the next start with this folder",
        "after a planned stop: start it again with the same folder",
    ),
    (
        "ntf.taken",
        "DEBUG",
        "id destination topic pushes",
        "a notification is taken, or goes on by its history after a start",
    ),
    ("ntf.ended", "DEBUG", "id how after", "a notification that is not delivered got its final answer"),
    ("platform.moved", "INFO", "address", "watch and notices have moved to this address"),
    (
        "staff.open",
        "INFO",
        "address",
        "staff are answered at this address: /-/ready, /-/metrics, drain, resume",
    ),
    (
        "peer.changed",
        "WARNING",
        "peer state",
        "another relay is there, quiet for a lease, gone (ten leases), or left",
        "quiet or gone: look after that relay; its work goes on with its guards",
        "peer",
    ),
    (
        "peer.refuses",
        "WARNING",
        "peer why",
        "another relay turns our words down; nothing has changed by them",
        "the same `peers` everywhere, each name once",
        "peer",
    ),
    ("peer.senseless", "WARNING", "peer why", "its answer is no word", "its version, its address", "peer"),
    (
        "relay.ended",
        "ERROR",
        "why",
        "the process ends with status 1: its address is in use, or its folder cannot be written",
        "as it says",
    ),
    (
        "relay.fault",
        "CRITICAL",
        "",
        "the process ends with status 1 by a fault of its own; what is owed is in the folder",
        "start it again; if it ends so each time, move the folder aside (`ryestack journal show` tells what "
        "is owed there) and tell the maintainers",
    ),
    (
        "relay.recovered",
        "INFO",
        "owed notices",
        "what the lives before left: so many go on by their history, so many ends are told again",
        "a high number after each start: look why it is killed",
    ),
    (
        "settings.changed",
        "INFO",
        "topics",
        "a reread file holds from here on; open notifications keep the rules they were taken under",
    ),
    (
        "relay.summary",
        "INFO",
        "counts owed out clients journal cpu memory control_version control_age_seconds control_rejected",
        "figures since the start: pushes by how they ended, notifications taken, throttled, expired, turned "
        "away; owed now, pushes out, clients connected, journal bytes, CPU seconds, most memory in MB",
        "the table of troubles; `owed` and `memory` must not grow without end",
    ),
    (
        "route.closed",
        "INFO",
        "route destination",
        "its circuit is closed: it is used as usual",
        "nothing",
        "route",
    ),
    ("route.drained", "INFO", "route destination", "it drains: it gets nothing new", "nothing", "route"),
    (
        "route.opened",
        "WARNING",
        "route destination why",
        "its circuit is open: it rests, then one trial",
        "the table of troubles",
        "route",
    ),
    (
        "seat.acts",
        "INFO",
        "seat life owed epoch",
        "this relay may act on what that life of that relay took; owed: how many it goes on with",
    ),
    (
        "seat.lapsed",
        "WARNING",
        "seat life",
        "too few guards in reach: what is guarded stands still until they are back",
        "the links to its guards",
    ),
    (
        "seat.lost",
        "WARNING",
        "seat life epoch",
        "another relay goes on with that work",
        "why this one was silent for a lease: a pause, a cut link",
    ),
)
