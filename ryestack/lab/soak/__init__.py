"""A soak test of real processes on loopback: relays under system-call faults, partners behind proxies,
clients that misbehave, signals; two or three troubles overlap at any time, and invariants judge the outcome.

`schedule` draws what happens from a seed; `scenario` plays it; `invariants` judges the books of all outside.
"""
