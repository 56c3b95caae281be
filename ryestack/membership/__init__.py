"""How the list of endpoints is followed: decisions without any I/O."""
