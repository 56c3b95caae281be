"""Observability of a relay: the registry of log events, the structured log, and the metrics."""
