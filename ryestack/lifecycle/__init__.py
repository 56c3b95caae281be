"""The lifecycle of a relay process: its phases from start to exit, and the task that owns its decisions."""
