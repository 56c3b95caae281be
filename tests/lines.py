"""Checks that no Python file has more than 250 lines, except those on a list that may only shrink."""

import subprocess
import sys
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
MAX_LINES = 250


def faults(found: dict[str, int], listed: dict[str, int]) -> list[str]:
    """found: file to lines; listed: the same for files not split yet. Returns one message per fault."""
    messages = []
    for name, lines in sorted(found.items()):
        if lines > max(MAX_LINES, listed.get(name, 0)):
            messages.append(f"{name} has {lines} lines, {max(MAX_LINES, listed.get(name, 0))} at most")
    for name, lines in sorted(listed.items()):
        if (current := found.get(name, 0)) <= MAX_LINES:
            messages.append(f"{name} is split: remove it from the list of long files in pyproject.toml")
        elif current < lines:
            messages.append(f"{name} has {current} lines: lower its {lines} in pyproject.toml")
    return messages


def main() -> int:
    listed = tomllib.loads((ROOT / "pyproject.toml").read_text())["tool"]["ryestack"]["long"]
    names = subprocess.run(["git", "ls-files", "*.py"], cwd=ROOT, capture_output=True, text=True, check=True)
    existing = [name for name in names.stdout.split() if (ROOT / name).is_file()]
    found = {name: len((ROOT / name).read_bytes().splitlines()) for name in existing}
    messages = faults(found, listed)
    print("\n".join(messages) or f"{len(found)} files, none over {MAX_LINES} lines but {len(listed)} listed")
    return 1 if messages else 0


if __name__ == "__main__":
    sys.exit(main())
