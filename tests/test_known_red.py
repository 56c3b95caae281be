"""What KNOWN-RED.txt lets pass, and what it does not."""

import shutil
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

HERE = Path(__file__).resolve().parent
SAMPLE = "def test_red():\n    assert False\n\n\ndef test_green():\n    pass\n"


class KnownRed(unittest.TestCase):
    def run_with(self, red: str) -> tuple[int, str]:
        with tempfile.TemporaryDirectory() as folder:
            tests = Path(folder) / "tests"
            tests.mkdir()
            shutil.copy(HERE / "conftest.py", tests)
            (tests / "test_sample.py").write_text(SAMPLE)
            (Path(folder) / "KNOWN-RED.txt").write_text(red)
            run = [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", "--rootdir", folder]
            done = subprocess.run([*run, "tests"], cwd=folder, capture_output=True, text=True, timeout=60)
            return done.returncode, done.stdout + done.stderr

    def test_just_the_named_ones_may_fail_and_none_of_them_may_pass(self):
        line = "tests/test_sample.py::{} | a cause | issue 0\n"
        status, said = self.run_with(line.format("test_red"))
        self.assertEqual(status, 0, said)
        self.assertIn("known red: tests/test_sample.py::test_red: a cause (issue 0)", said)
        for red in ("", line.format("test_other"), line.format("test_red") + line.format("test_green")):
            self.assertEqual(self.run_with(red)[0], 1, red)

    def test_a_line_that_says_too_little_and_more_than_three_are_refused(self):
        for red in ("tests/test_sample.py::test_red\n", "".join(f"t{n} | a | b\n" for n in range(4))):
            status, said = self.run_with(red)
            self.assertNotIn(status, (0, 1))
            self.assertIn("KNOWN-RED.txt", said)


if __name__ == "__main__":
    unittest.main()
