"""Soak test with real processes on loopback: relays under system-call faults, partners behind faulty proxies,
misbehaving clients, and signals. Two or three faults overlap at any time; invariants are checked at the end.

`schedule` draws the faults from a seed, `scenario` runs them, `invariants` checks the records that clients,
partners and the platform kept.
"""
