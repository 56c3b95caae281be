"""python -m ryestack.benchlink: serves the bench on standard input and output."""

import sys

from .codec import BadLine
from .host import serve

if __name__ == "__main__":
    try:
        serve(sys.stdin.buffer, sys.stdout)
    except BadLine as problem:
        print(f"benchlink: {problem}", file=sys.stderr)
        sys.exit(2)
    except BrokenPipeError:
        sys.exit(1)
