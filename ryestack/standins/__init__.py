"""Scripted peers on loopback: partners and the platform, with books of their own for an independent judge.

They read the published protocol on their own and import nothing of the relay's protocol code.
"""
