"""What the folder of a relay in simulated time holds for its next process. Pure."""

from dataclasses import dataclass
from math import inf

from ...brain import Brain
from ...lifecycle import learned_state


@dataclass(slots=True)
class Folder:
    """learnt; failing, warming: the two saved files, as learned_state makes them, and when each was saved."""

    learnt: dict | None = None
    learnt_at: float = -inf
    failing: dict[str, float] | None = None
    warming: dict[str, float] | None = None
    failing_at: float = -inf

    def save(self, module: Brain, now: float) -> None:
        """Saves all that the module has learned."""
        self.learnt, self.learnt_at = learned_state.export(module), now

    def save_failing(self, module: Brain, now: float) -> None:
        """Saves the routes that fail or warm up, if they have changed."""
        failing, warming = learned_state.failing(module), learned_state.warming(module)
        if (failing, warming) != (self.failing or {}, self.warming or {}):
            self.failing, self.warming, self.failing_at = failing, warming, now

    def restore(self, module: Brain, owed_to: set[int]) -> None:
        """Gives a new process what was saved; failing routes that were saved before the rest are outdated.

        owed_to: destinations for which notifications wait.
        """
        if self.learnt is not None:
            learned_state.restore(module, self.learnt)
        if self.learnt is None and self.failing is None:
            learned_state.assume_unknown(module, owed_to)
        if self.failing is None:
            return
        is_latest = self.learnt is None or self.failing_at >= self.learnt_at
        tables = (self.failing, self.warming) if is_latest else ({}, {})
        learned_state.assume_cold_again(module, *tables)
