"""The owner's interface to replication, for a relay without replicas: everything is allowed at once."""

from ...ports import Verdict


class Unreplicated:
    """`ReplicatedWork` has the same methods."""

    def retry_after(self) -> float | None:
        """Seconds after which a client may retry, if nothing may be accepted now; else None."""
        return None

    def hand_in_accepted(self, owed, message) -> None:
        """The notification is in the journal: answer the client once that is allowed."""
        message.decide(Verdict.ACCEPTED)

    def actionable(self, inherited: list) -> list:
        """Of the notifications of earlier processes, those that may be acted on now; the rest follows later,
        through Owner.adopt."""
        return inherited

    def begin_push(self, owed, deadline: float, begin_by: float) -> tuple | None:
        """Until when the first byte may be sent, and a future to wait for before that or None.

        None if the push is not allowed now. deadline, begin_by: of the push; all are times of the clock.
        """
        return begin_by, None

    def push_ended(self, owed, push: int, never_ran: bool) -> None:
        """The outcome of a push is in the journal."""

    def finish(self, owed) -> None:
        """Nothing is owed of the notification any more."""

    def notice_owed(self, owed, notice: dict, send) -> None:
        """A notice is owed to the platform: call send(id, notice) once that is allowed."""
        send(owed.id, notice)
