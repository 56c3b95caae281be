"""The command line, with one module per sub-command. No other package imports typer and rich.

Exit status: 0 success, 1 a check or trial found problems, 2 invalid usage or input.
"""

import sys

UNUSABLE, STOPPED = 2, 130
MISSING = "the command line needs additional libraries: pip install 'ryestack[lab]'"


def main(arguments: list[str] | None = None) -> int:
    """Runs one command; returns its exit status and raises no SystemExit or KeyboardInterrupt."""
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
    """The entry point of the console script."""
    sys.exit(main())
