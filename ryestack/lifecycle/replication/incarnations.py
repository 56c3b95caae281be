"""The lives of this relay, in its folder: a number that grows with each start, and which may still have
work."""

import json
import os
import time
from contextlib import suppress
from pathlib import Path

NAME = "lives"


class Incarnations:
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
        self.write([*self.before, self.life])

    def next(self, life: int) -> bool:
        """Whether this process may go on as another life: only once that is written.

        Else the next start would not know what is not its own any more.
        """
        try:
            self.write([*self.before, self.life, life])
        except OSError:
            return False
        self.before, self.life = [*self.before, self.life], life
        return True

    def done(self, finished: set[int]) -> None:
        """Those have no work left; where it can't be written they are asked after once more."""
        if finished & set(self.before):
            left = [life for life in self.before if life not in finished]
            with suppress(OSError):
                self.write([*left, self.life])
                self.before = left

    def write(self, lives: list[int]) -> None:
        """Raises OSError."""
        fresh = self.path.with_name(NAME + ".new")
        fresh.write_text(json.dumps(lives))
        os.replace(fresh, self.path)
