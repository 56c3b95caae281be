"""Start to exit: the phases of a relay and the one task that owns its decisions."""
