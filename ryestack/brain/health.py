"""What a relay takes a destination for, by its own calls alone."""

from enum import Enum


class Health(Enum):
    """State of a rate limiter with regard to outages; the values appear in the log and in the metrics."""

    WARM = "warm"  # as usual
    SUSPECTED = "suspected"  # its last calls were refused or failed: an outage, a limit, or chance
    DOWN = "down"  # an outage, until a call is delivered
    WARMING = "warming"  # back from an outage, with less than all of its capacity
