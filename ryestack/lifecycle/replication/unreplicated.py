"""What the owner asks of whoever guards its work, where nobody does: all is allowed, at once."""

from ...ports import Verdict


class Unreplicated:
    def turned_away(self) -> float | None:
        """Seconds after which to come again, where nothing may be taken now; else None."""
        return None

    def took(self, owed, message) -> None:
        """It is in the journal: the client may hear of it."""
        message.verdict.set_result((Verdict.ACCEPTED, 0.0))

    def inherited(self, left: list) -> list:
        """Of what lives before us have left, what may be acted on now; the rest follows when it may."""
        return left

    def begin(self, push, owed) -> tuple | None:
        """(seconds within which its first byte must go, what it waits for before that); None: not now."""
        return push.begin_timeout, None

    def ended(self, owed, push: int, never_ran: bool) -> None:
        """How a push ended, that is in the journal."""

    def over(self, owed) -> None:
        """Nothing is owed any more."""

    def told(self, owed, notice: dict, tell) -> None:
        """An end is owed to the platform: tell it, once it may be told."""
        tell(owed.id, notice)
