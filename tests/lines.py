"""No file of ours over 250 lines; those that are not split yet stand in a list that may only shrink."""

import subprocess
import sys
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
MOST = 250


def faults(found: dict[str, int], listed: dict[str, int]) -> list[str]:
    """found: file to lines; listed: the same for files not yet split. Returns a line a fault."""
    said = []
    for name, lines in sorted(found.items()):
        if lines > max(MOST, listed.get(name, 0)):
            said.append(f"{name} has {lines} lines, {max(MOST, listed.get(name, 0))} at most")
    for name, lines in sorted(listed.items()):
        if (now := found.get(name, 0)) <= MOST:
            said.append(f"{name} is split: take it off the list of long files in pyproject.toml")
        elif now < lines:
            said.append(f"{name} has {now} lines: lower its {lines} in pyproject.toml")
    return said


def main() -> int:
    listed = tomllib.loads((ROOT / "pyproject.toml").read_text())["tool"]["ryestack"]["long"]
    names = subprocess.run(["git", "ls-files", "*.py"], cwd=ROOT, capture_output=True, text=True, check=True)
    there = [name for name in names.stdout.split() if (ROOT / name).is_file()]
    found = {name: len((ROOT / name).read_bytes().splitlines()) for name in there}
    said = faults(found, listed)
    print("\n".join(said) or f"{len(found)} files, none over {MOST} lines but {len(listed)} listed")
    return 1 if said else 0


if __name__ == "__main__":
    sys.exit(main())
