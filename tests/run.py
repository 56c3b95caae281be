"""Runs all tests and closes with a plain line of counts; a run of no test fails."""

import sys
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent


def main() -> int:
    sys.path.insert(0, str(ROOT))
    found = unittest.defaultTestLoader.discover(str(ROOT / "tests"), top_level_dir=str(ROOT))
    result = unittest.TextTestRunner(verbosity=1, stream=sys.stdout).run(found)
    bad = len(result.failures) + len(result.errors) + len(result.unexpectedSuccesses)
    passed = result.testsRun - bad - len(result.skipped)
    print(f"{passed} passed, {bad} failed")
    return 0 if passed and not bad else 1


if __name__ == "__main__":
    sys.exit(main())
