"""All decisions of a relay: Brain(settings, seed).round(now, events) returns actions; see docs/design.md."""

from .notifications import MAY_STILL_RUN, NEVER_RAN  # noqa: F401
from .rounds import Brain  # noqa: F401
