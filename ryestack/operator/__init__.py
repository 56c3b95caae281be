"""The operator file: what an installation may choose beside the platform's configuration, never instead."""
