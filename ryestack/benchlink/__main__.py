"""python -m ryestack.benchlink: serve the bench on standard input and output."""

import sys

from .codec import BadLine
from .host import serve

if __name__ == "__main__":
    try:
        serve(sys.stdin.buffer, sys.stdout)
    except BadLine as bad:
        print(f"benchlink: {bad}", file=sys.stderr)
        sys.exit(2)
    except BrokenPipeError:
        sys.exit(1)
