"""python -m ryestack: one live relay, from LB_CONFIG and LB_STATE until SIGTERM.

With arguments it is the command line, which is loaded then only: what runs a relay stays lean.
"""

import sys

STOPPED = 130  # by Ctrl-C before there was anything to wind up


def main() -> int:
    try:
        if sys.argv[1:]:
            from .cli import main as run
        else:
            from .lifecycle.service import serve as run
        return run()
    except KeyboardInterrupt:
        return STOPPED


if __name__ == "__main__":
    sys.exit(main())
