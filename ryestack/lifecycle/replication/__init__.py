"""The owner's work in hand and its replicas at other relays: what waits for them, what is taken over.

`unreplicated` is what the owner asks where the operator file has no `[peers]`; all else is loaded only there.
"""
