"""A relay that has its destinations and settings from control machines, in scope; loaded only where an
operator file names a cluster under `[control]`.
"""
