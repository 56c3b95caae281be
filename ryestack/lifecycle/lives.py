"""The lives of this relay, in its folder: a number that grows with each start, and which may still have
work."""

import json
import os
import time
from pathlib import Path

NAME = "lives"


class Lives:
    """before: lives that may have left work; life: this one's number. sole: no other process of it runs."""

    def __init__(self, folder: str, sole: bool):
        self.path, self.before = Path(folder) / NAME, []
        try:
            told = json.loads(self.path.read_bytes())
            self.before = [int(life) for life in told] if isinstance(told, list) else []
            self.sole = sole  # a folder that has seen lives: its lock proves that they are over
        except (OSError, ValueError, TypeError):
            self.sole = False
        self.life = max([int(time.time() * 1000), *(life + 1 for life in self.before)])
        self.write()

    def next(self, life: int) -> None:
        """This process goes on as another life."""
        self.before, self.life = [*self.before, self.life], life
        self.write()

    def done(self, finished: set[int]) -> None:
        if finished & set(self.before):
            self.before = [life for life in self.before if life not in finished]
            self.write()

    def write(self) -> None:
        """Raises OSError: without it the next start would not know what is not its own any more."""
        fresh = self.path.with_name(NAME + ".new")
        fresh.write_text(json.dumps([*self.before, self.life]))
        os.replace(fresh, self.path)
