"""Turns the log off, so that it does not mix with pytest's output; a test that reads it sets up its own."""

from loguru import logger

logger.remove()
