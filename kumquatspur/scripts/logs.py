"""Log configuration: JSON lines on standard error."""

import logging

from pythonjsonlogger.json import JsonFormatter


def configure_logging(level: str) -> None:
    """Configures the root logger to write JSON lines to standard error.

    Args:
        level: Name of a `logging` level.
    """
    handler = logging.StreamHandler()
    handler.setFormatter(
        JsonFormatter(
            "{asctime}{levelname}{name}{message}",
            style="{",
            rename_fields={"asctime": "time", "levelname": "level"},
        )
    )
    logging.basicConfig(level=level, handlers=[handler])
