"""How late this process is of late. Pure: no clock of its own.

A process that gets too little processor time reads late and, as late again, tells the platform of an end. The
first shows in how long bytes wait unread; the second is allowed for by as much.
"""

HALF_LIFE = 2.0  # seconds in which the worst wait counts half: a spell of load outlasts its messages' reading
MOST = 1.0  # seconds that are allowed for, whatever was seen
PART = 0.1  # of a message's time, at most: a short one keeps most of it


class Lateness:
    """The worst wait of late, fading."""

    def __init__(self):
        self.worst, self.noted_at = 0.0, 0.0

    def note(self, now: float, waited: float) -> None:
        """Bytes that were read now had waited so many seconds."""
        self.worst, self.noted_at = max(waited, self.faded(now)), now

    def faded(self, now: float) -> float:
        return self.worst * 0.5 ** ((now - self.noted_at) / HALF_LIFE)

    def reserve(self, now: float, span: float) -> float:
        """Seconds to leave for our own lateness at the end of a message that has span seconds."""
        return min(self.faded(now), MOST, span * PART)
