"""The scope of a relay: destinations and settings that it gets from control machines. Only imported if the
operator file names a cluster under `[control]`.
"""
