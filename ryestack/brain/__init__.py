"""All decisions of a relay: Brain(settings, seed), round(now, events) -> actions; see docs/design.md."""

from .rounds import Brain  # noqa: F401
from .walk import MAY_STILL_RUN, NEVER_RAN  # noqa: F401
