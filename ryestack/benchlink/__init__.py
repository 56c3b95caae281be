"""Adapter to the bench: codec of its protocol, and the relays of one process. Makes no decisions."""
