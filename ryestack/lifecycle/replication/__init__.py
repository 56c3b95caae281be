"""Replication of the owner's open notifications to other relays, and take-over of theirs.

The owner uses `unreplicated` if the operator file has no `[peers]`; everything else is only imported if it
has.
"""
