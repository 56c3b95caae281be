"""The program and its deploy file name no site, topic type or customer of a deployment."""

import tomllib
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent


def names() -> set[str]:
    """All names in the configurations under deploy/sites."""
    found = set()
    for path in (ROOT / "deploy" / "sites").glob("*/*.toml"):
        site = tomllib.loads(path.read_text())
        found |= {site["name"], *(row["name"] for row in [*site["class"], *site.get("tenant", [])])}
    return found


class Names(unittest.TestCase):
    def test_the_program_contains_no_name_of_a_site(self):
        self.assertGreater(len(names()), 6)
        files = [*(ROOT / "ryestack").rglob("*.py"), ROOT / "deploy" / "balancer.toml"]
        for path in files:
            text = path.read_text().lower().replace("_", "-")
            self.assertEqual([n for n in names() if n in text], [], path.name)


if __name__ == "__main__":
    unittest.main()
