"""Progress of long-running commands."""

from rich.progress import BarColumn, Progress, TextColumn, TimeRemainingColumn

from ..output import console, say


class ProgressBar:
    """A progress bar with the remaining time on a terminal; elsewhere a plain line for each 10%."""

    def __init__(self, label: str):
        stderr = console(err=True)
        columns = TextColumn(label + " {task.completed}/{task.total}"), BarColumn(), TimeRemainingColumn()
        self.bar = Progress(*columns, console=stderr, transient=True, disable=not stderr.is_terminal)
        self.task, self.label = self.bar.add_task("", total=None), label
        self.plain, self.reported_tenths = not stderr.is_terminal, 0

    def __enter__(self):
        self.bar.__enter__()
        return self

    def __exit__(self, *more):
        return self.bar.__exit__(*more)

    def __call__(self, done: int, total: int) -> None:
        self.bar.update(self.task, completed=done, total=total)
        if self.plain and total and done * 10 // total > self.reported_tenths:
            self.reported_tenths = done * 10 // total
            say(f"{self.label} {done}/{total}")
