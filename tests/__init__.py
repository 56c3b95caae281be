"""No log lines between the runner's: a test that reads them sets up its own."""

from loguru import logger

logger.remove()
