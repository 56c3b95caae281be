"""How far a long command has come."""

from rich.progress import BarColumn, Progress, TextColumn, TimeRemainingColumn

from ..output import console, say


class ProgressBar:
    """Progress with the time left, on a terminal; elsewhere a plain line at each tenth."""

    def __init__(self, what: str):
        screen = console(err=True)
        columns = TextColumn(what + " {task.completed}/{task.total}"), BarColumn(), TimeRemainingColumn()
        self.bar = Progress(*columns, console=screen, transient=True, disable=not screen.is_terminal)
        self.task, self.what = self.bar.add_task("", total=None), what
        self.plain, self.said = not screen.is_terminal, 0

    def __enter__(self):
        self.bar.__enter__()
        return self

    def __exit__(self, *more):
        return self.bar.__exit__(*more)

    def __call__(self, done: int, of: int) -> None:
        self.bar.update(self.task, completed=done, total=of)
        if self.plain and of and done * 10 // of > self.said:
            self.said = done * 10 // of
            say(f"{self.what} {done}/{of}")
