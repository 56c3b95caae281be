"""The registry as the first table of docs/oncall.md."""

from .registry import EVENTS

BEGIN, END = "<!-- events: made by `make pages` -->", "<!-- events: end -->"


def table() -> str:
    rows = ["| event | level | fields | meaning | what to do |", "| --- | --- | --- | --- | --- |"]
    for e in sorted(EVENTS.values(), key=lambda e: e.name):
        fields = " ".join(f"`{f}`" for f in e.fields) or "-"
        rows.append(f"| `{e.name}` | {e.level} | {fields} | {e.meaning} | {e.todo} |")
    return "\n".join(rows)


def with_current_table(page: str) -> str:
    """The page with its table made anew; ValueError if it has no place for it."""
    head, begin, rest = page.partition(BEGIN)
    _, end, tail = rest.partition(END)
    if not begin or not end:
        raise ValueError("the page has no place for the events")
    return f"{head}{BEGIN}\n\n{table()}\n\n{END}{tail}"
