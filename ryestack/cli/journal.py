"""ryestack journal: prints or verifies the journal in a relay's state directory."""

from typing import Annotated

import typer

from ..store.inspect import JournalReport, NoJournal, inspect, summary_row
from ..store.timeline import read_clock
from .output import FOUND, Json, console, print_json, table, unusable

app = typer.Typer(no_args_is_help=True)
Folder = Annotated[str, typer.Argument(help="The state directory of a running or stopped relay.")]


def _inspect(folder: str) -> list[JournalReport]:
    try:
        return inspect(folder)
    except NoJournal as bad:
        raise unusable(str(bad)) from None


def _state(report: JournalReport) -> dict:
    return {
        "file": report.path,
        "bytes": report.size,
        "records": report.records,
        "sound": report.is_sound(),
        "senseless_at": report.invalid_offsets,
        "damage": [{"at": d.at, "bytes": d.length, "tail": d.tail} for d in report.damage],
        "owed": len(report.owed),
        "notices": sum(o.notice is not None for o in report.owed.values()),
        "may_have_run": sum(
            o.open_pushes != {} or o.may_have_run_at < float("inf") for o in report.owed.values()
        ),
        "lost_behind_damage": sorted(report.owed_behind_damage),
        "rewriting": report.rewrite_pending,
    }


def _lines(report: JournalReport) -> list[str]:
    lines = [f"{report.path}: {report.size} bytes, {report.records} records, {len(report.owed)} owed"]
    for d in report.damage:
        cause = "a torn tail, as left by a kill during a write" if d.tail else "damage"
        lines.append(f"{report.path}: {d.length} bytes at offset {d.at} are not a valid record: {cause}")
    lines += [f"{report.path}: the record at offset {offset} is invalid" for offset in report.invalid_offsets]
    if report.owed_behind_damage:
        lines.append(
            f"{len(report.owed_behind_damage)} owed notifications follow the damage; a start would lose them"
        )
    if report.rewrite_pending:
        lines.append("a new file exists beside the journal: a rewrite is in progress or was interrupted")
    return lines


@app.command()
def show(folder: Folder, as_json: Json = False) -> None:
    """Show what is owed, to whom, and what may have run; read-only. Keys and bodies are never shown."""
    reports, clock = _inspect(folder), read_clock()
    rows = [
        {**summary_row(o, f.now(clock)), "behind_damage": False} for f in reports for o in f.owed.values()
    ]
    rows += [
        {**summary_row(o, f.now(clock)), "behind_damage": True}
        for f in reports
        for o in f.owed_behind_damage.values()
    ]
    if as_json:
        print_json({**_state(reports[0]), "beside": [_state(f) for f in reports[1:]], "notifications": rows})
        return
    for line in [line for f in reports for line in _lines(f)]:
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
    """Check the journal; exit status 1 for damage that a kill during a write does not explain."""
    reports = _inspect(folder)
    sound = all(f.is_sound() for f in reports)
    if as_json:
        print_json({**_state(reports[0]), "beside": [_state(f) for f in reports[1:]]})
    else:
        for line in [*(line for f in reports for line in _lines(f)), "sound" if sound else "NOT sound"]:
            console().print(line, markup=False, soft_wrap=True)
    raise typer.Exit(0 if sound else FOUND)
