"""python -m ryestack: runs one relay, configured by LB_CONFIG and LB_STATE, until SIGTERM.

With arguments it runs the command line, which is only imported then, so that a relay's process stays small.
"""

import signal
import sys

INTERRUPTED_STATUS = 130  # Ctrl-C before a relay was running


def main() -> int:
    """Returns the exit status."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # until the relay installs its reload handler
    try:
        if sys.argv[1:]:
            from .cli import main as run
        else:
            from .lifecycle.service import serve as run
        return run()
    except KeyboardInterrupt:
        return INTERRUPTED_STATUS


if __name__ == "__main__":
    sys.exit(main())
