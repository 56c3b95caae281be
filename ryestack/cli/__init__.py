"""The command line: a module a sub-command. The only place that imports typer and rich.

Exit status: 0 done, 1 a check or trial found something, 2 it could not be used as asked.
"""

import sys

UNUSABLE, STOPPED = 2, 130
MISSING = "the command line needs more libraries: pip install 'ryestack[lab]'"


def main(arguments: list[str] | None = None) -> int:
    """Run one command; returns its exit status, and raises nothing."""
    try:
        try:
            from .app import app
        except ModuleNotFoundError as missing:
            if (missing.name or "").startswith("ryestack"):
                raise
            print(f"ryestack: {missing.name} is not installed: {MISSING}", file=sys.stderr)
            return UNUSABLE
        app(args=arguments, prog_name="ryestack")
        return 0
    except SystemExit as ended:
        return ended.code if isinstance(ended.code, int) else 0 if ended.code is None else 1
    except KeyboardInterrupt:
        return STOPPED


def script() -> None:
    """The console script."""
    sys.exit(main())
