"""The incarnations ("lives") of this relay, stored in its folder: a number that grows with each start, and
the earlier ones that may still have open notifications."""

import json
import os
import time
from contextlib import suppress
from pathlib import Path

FILE_NAME = "lives"


class Incarnations:
    """unfinished: earlier lives that may have open notifications; life: the number of this one; sole: no
    other process of this relay is running."""

    def __init__(self, folder: str, sole: bool):
        self.path, self.unfinished = Path(folder) / FILE_NAME, []
        try:
            saved = json.loads(self.path.read_bytes())
            self.unfinished = [int(life) for life in saved] if isinstance(saved, list) else []
            self.sole = sole  # the folder has recorded lives: its lock proves that they are over
        except (OSError, ValueError, TypeError):
            self.sole = False
        self.life = max([int(time.time() * 1000), *(life + 1 for life in self.unfinished)])
        self.write([*self.unfinished, self.life])

    def begin_next(self, life: int) -> bool:
        """Continue as another life; returns False, without a change, if that cannot be written.

        If it were not written, the next start would not know that this life no longer owns its shard.
        """
        try:
            self.write([*self.unfinished, self.life, life])
        except OSError:
            return False
        self.unfinished, self.life = [*self.unfinished, self.life], life
        return True

    def forget(self, finished: set[int]) -> None:
        """Forget lives without open notifications; if that cannot be written, it is tried again later."""
        if finished & set(self.unfinished):
            left = [life for life in self.unfinished if life not in finished]
            with suppress(OSError):
                self.write([*left, self.life])
                self.unfinished = left

    def write(self, lives: list[int]) -> None:
        """Replace the file; raises OSError."""
        replacement = self.path.with_name(FILE_NAME + ".new")
        replacement.write_text(json.dumps(lives))
        os.replace(replacement, self.path)
