"""Writes measured slopes into docs/capacity.toml.

    python benchmarks/capacity_inputs.py RESULT.json [...] [--rename members.has=members.has.before]
    python benchmarks/capacity_inputs.py --scale  # docs/studies/scale.json into each [[observed]]

For each quantity of the results with a [[slope]] in the file, its points, fit, command and commit replace the
old ones; quantities without a [[slope]] are reported and left out.
"""

import json
import re
import sys
from pathlib import Path
from typing import Annotated

import typer

INPUTS = Path(__file__).resolve().parent.parent / "docs" / "capacity.toml"
SCALE = INPUTS.parent / "studies" / "scale.json"
MEASURED = (
    "points",
    "exponent",
    "standard_error",
    "lowest",
    "highest",
    "fixed",
    "command",
    "commit",
    "known",
)
DIGITS = 4


def lines_of(result: dict, quantity: str) -> list[str]:
    """The TOML lines of one measured slope."""
    found = result["slopes"][quantity]
    points = ", ".join(f"[{size:.6g}, {value:.{DIGITS}g}]" for size, value in found["points"])
    lines = [f"points = [{points}]"]
    if found["fit"]:
        lines += [f"{key} = {value:.4f}" for key, value in found["fit"].items()]
    command = f"python benchmarks/capacity.py {found['probe']}"
    return [
        *lines,
        f'fixed = "{found["fixed"]}"',
        f'command = "{command}"',
        f'commit = "{result["commit"]}"',
        'known = "measured"',
    ]


def replaced(text: str, name: str, lines: list[str]) -> tuple[str, bool]:
    """Returns the text with the slope's measured lines replaced, and whether it has the slope."""
    pattern = re.compile(rf'(\[\[slope\]\]\nname = "{re.escape(name)}"\n)(.*?)(?=\n\[|\n\n|\Z)', re.S)
    entry = pattern.search(text)
    if not entry:
        return text, False
    kept = [line for line in entry[2].splitlines() if line.split(" = ")[0] not in MEASURED]
    return text[: entry.start()] + entry[1] + "\n".join([*kept, *lines]) + text[entry.end() :], True


def value_at(run: dict, path: str) -> float:
    """The value at a dotted path of a scale run's result, with stories by name."""
    found = run
    for key in path.split("."):
        found = {story["story"]: story for story in found}[key] if isinstance(found, list) else found[key]
    return found


def observed(text: str, runs: list[dict]) -> str:
    """Returns the text with the values of each [[observed]] entry replaced by those of the runs."""

    def renewed(entry: re.Match) -> str:
        points = ", ".join(f"[{run['relays']}, {value_at(run, entry[2]):.{DIGITS}g}]" for run in runs)
        return f"{entry[1]}values = [{points}]"

    return re.sub(r'(path = "([^"]+)"\n(?:\w+ = "[^"]*"\n)*)values = .*', renewed, text)


def main(
    results: Annotated[list[Path] | None, typer.Argument()] = None,
    rename: Annotated[list[str] | None, typer.Option()] = None,
    scale: bool = False,
) -> None:
    names = dict(pair.split("=") for pair in rename or [])
    text = INPUTS.read_text()
    for path in results or []:
        result = json.loads(path.read_text())
        for quantity in result["slopes"]:
            name = names.get(quantity, quantity)
            text, has_slope = replaced(text, name, lines_of(result, quantity))
            print(f"{name}: {'updated' if has_slope else 'the file has no such slope'}", file=sys.stderr)
    if scale:
        text = observed(text, json.loads(SCALE.read_text()))
    INPUTS.write_text(text)


if __name__ == "__main__":
    typer.run(main)
