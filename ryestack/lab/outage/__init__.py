"""Plays of one partner that goes away and comes back cold, and of a fleet of relays that owe it messages.

`partner` holds the partner and its book, `budget` the rule on the book's windows, `fleet` the relays in
simulated time (real decision modules), `processes` the same with real relay processes on loopback.
"""
