"""Persistent state of a relay: the ledger of open notifications, its journal, and other state files."""
