"""The emulated world: everything round the relays, in simulated time. Pure: no I/O, no clock but its own.

The relays run the real decision module through its interface; what happens to a call is decided here, and the
judge reads that truth.
"""
