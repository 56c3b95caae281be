"""Renders the event registry as the first table of docs/oncall.md."""

from .registry import EVENTS

BEGIN, END = "<!-- events: made by `make pages` -->", "<!-- events: end -->"


def table() -> str:
    """The events as a Markdown table, by name."""
    rows = ["| event | level | fields | meaning | what to do |", "| --- | --- | --- | --- | --- |"]
    for event in sorted(EVENTS.values(), key=lambda e: e.name):
        fields = " ".join(f"`{f}`" for f in event.fields) or "-"
        rows.append(f"| `{event.name}` | {event.level} | {fields} | {event.meaning} | {event.todo} |")
    return "\n".join(rows)


def with_current_table(page: str) -> str:
    """The page with its table regenerated; ValueError if it lacks the markers of the table."""
    head, begin, rest = page.partition(BEGIN)
    _, end, tail = rest.partition(END)
    if not begin or not end:
        raise ValueError("the page lacks the markers of the event table")
    return f"{head}{BEGIN}\n\n{table()}\n\n{END}{tail}"
