"""Hosts the relays of one bench process: a decision module each, with no shared state."""

from .. import interface
from ..brain import Brain
from .codec import (
    ACTIONS,
    EVENTS,
    SCOPES,
    BadLine,
    Fields,
    read_line,
    read_rows,
    settings_of,
    write,
    write_line,
)


class Host:
    """The relays by number, the endpoint lists by reference, and the events of the current batch."""

    def __init__(self):
        self.brains: dict[int, Brain] = {}
        self.lists: dict[int, tuple[interface.Endpoint, ...]] = {}
        self.pending: dict[int, list[interface.Event]] = {}

    def event(self, fields: Fields) -> None:
        if fields.name == "Catalog":
            ref = fields.next("ref", int)
            self.lists[ref] = read_rows(fields)
            return
        relay = fields.next("relay", int)
        if fields.name == "Up":
            seed = fields.next("entropy", int)
            self.brains[relay] = Brain(settings_of(fields), seed)
            self.pending[relay] = []
        elif relay not in self.brains:
            raise fields.error(f"unknown instance {relay}")
        elif fields.name == "Retire":
            del self.brains[relay]
            self.pending.pop(relay, None)
        elif fields.name == "Sync":
            self.pending.setdefault(relay, []).append(self.list_update(fields))
        elif fields.name in EVENTS:
            event = EVENTS[fields.name](fields)
            self.pending.setdefault(relay, []).extend([event] if event else [])
        else:
            raise fields.error("unknown event")

    def list_update(self, fields: Fields) -> interface.ListUpdate:
        scope = fields.next("scope", int)
        if scope not in SCOPES:
            raise fields.error(f"unknown scope {scope}")
        if scope == 3:
            return interface.ListUpdate(failed=True)
        fields.next("stamp", int)
        ref = fields.next("ref", int)
        if ref not in self.lists:
            raise fields.error(f"unknown list {ref}")
        return interface.ListUpdate(self.lists[ref], whole=scope in (1, 2))

    def end(self, now: float) -> list[str]:
        lines = []
        for relay, events in self.pending.items():
            try:
                lines += [
                    write(relay, action)
                    for action in self.brains[relay].round(now, events)
                    if type(action) in ACTIONS
                ]
            except Exception as problem:  # the protocol reports it as Fatal: the day ends with this text
                lines.append(write_line("Fatal", relay, f"{type(problem).__name__}: {problem}"))
        self.pending = {}
        return lines


def serve(source, sink) -> None:
    """Reads batches from `source` until it ends, and answers each on `sink`. Raises BadLine."""
    host, now, number = Host(), 0.0, None
    for count, text in enumerate(source, 1):
        if not text.strip():
            continue
        fields = read_line(text, count)
        if fields.name == "Round":
            if number is not None:
                raise fields.error("the previous batch has no End")
            now, number = fields.seconds("clock"), fields.next("batch", int)
        elif number is None:
            raise BadLine(f"line {count}: {fields.name} outside a batch")
        elif fields.name == "End":
            sink.write("".join(line + "\n" for line in [*host.end(now), write_line("Eor", number)]))
            sink.flush()
            number = None
        else:
            host.event(fields)
