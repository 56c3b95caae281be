"""ryestack journal: show and verify."""

from typing import Annotated

import typer

from ..store.inspect import JournalReport, NoJournal, inspect, summary_row
from ..store.timeline import read_clock
from .output import FOUND, Json, console, print_json, table, unusable

app = typer.Typer(no_args_is_help=True)
Folder = Annotated[str, typer.Argument(help="The folder that lasts, of a live or a dead relay.")]


def _found(folder: str) -> list[JournalReport]:
    try:
        return inspect(folder)
    except NoJournal as bad:
        raise unusable(str(bad)) from None


def _state(found: JournalReport) -> dict:
    return {
        "file": found.path,
        "bytes": found.size,
        "records": found.records,
        "sound": found.is_sound(),
        "senseless_at": found.invalid_offsets,
        "damage": [{"at": d.at, "bytes": d.length, "tail": d.tail} for d in found.damage],
        "owed": len(found.owed),
        "notices": sum(o.notice is not None for o in found.owed.values()),
        "may_have_run": sum(
            o.open_pushes != {} or o.may_have_run_at < float("inf") for o in found.owed.values()
        ),
        "lost_behind_damage": sorted(found.owed_behind_damage),
        "rewriting": found.rewrite_pending,
    }


def _lines(found: JournalReport) -> list[str]:
    lines = [f"{found.path}: {found.size} bytes, {found.records} records, {len(found.owed)} owed"]
    for d in found.damage:
        what = "a torn tail, as a kill within a write leaves" if d.tail else "damage"
        lines.append(f"{found.path}: {d.length} bytes from {d.at} on are no record: {what}")
    lines += [f"{found.path}: the record at {at} makes no sense" for at in found.invalid_offsets]
    if found.owed_behind_damage:
        lines.append(f"{len(found.owed_behind_damage)} owed stand behind the damage; a start would lose them")
    if found.rewrite_pending:
        lines.append("a new file stands beside it: a rewrite is under way, or was cut short")
    return lines


@app.command()
def show(folder: Folder, as_json: Json = False) -> None:
    """What is owed, to whom, and what may have run; read-only. Keys and bodies are never shown."""
    found, clock = _found(folder), read_clock()
    rows = [{**summary_row(o, f.now(clock)), "behind_damage": False} for f in found for o in f.owed.values()]
    rows += [
        {**summary_row(o, f.now(clock)), "behind_damage": True}
        for f in found
        for o in f.owed_behind_damage.values()
    ]
    if as_json:
        print_json({**_state(found[0]), "beside": [_state(f) for f in found[1:]], "notifications": rows})
        return
    for line in [line for f in found for line in _lines(f)]:
        console().print(line, markup=False, soft_wrap=True)
    columns = [
        "id",
        "destination",
        "topic type",
        "due in s",
        "pushes",
        "out",
        "may have run",
        "notice",
        "behind damage",
    ]
    cells = [
        [
            r["id"],
            r["destination"],
            r["topic_type"],
            r["due_in_s"],
            r["pushes"],
            ",".join(map(str, r["out"])) or "-",
            "yes" if r["may_have_run"] else "no",
            (r["notice"] or {}).get("state", "-"),
            "yes" if r["behind_damage"] else "no",
        ]
        for r in rows
    ]
    if cells:
        table("", columns, cells)


@app.command()
def verify(folder: Folder, as_json: Json = False) -> None:
    """Whether the file is sound; status 1 where more is wrong than a kill within a write explains."""
    found = _found(folder)
    sound = all(f.is_sound() for f in found)
    if as_json:
        print_json({**_state(found[0]), "beside": [_state(f) for f in found[1:]]})
    else:
        for line in [*(line for f in found for line in _lines(f)), "sound" if sound else "NOT sound"]:
            console().print(line, markup=False, soft_wrap=True)
    raise typer.Exit(0 if sound else FOUND)
