"""Scripted test doubles of the partners and the platform, on loopback.

They keep their own records, from which an independent checker judges the relay. They implement the published
protocol separately and import none of the relay's protocol code.
"""
