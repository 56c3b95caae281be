"""The emulator: clients, network, destinations and registry around the relays, in simulated time.

Pure: no I/O and no clock but the simulated one. The relays run the real decision module through its
interface.
What happens to a call is decided here, and the judge reads this ground truth.
"""
