"""Log set-up: JSON lines on standard error."""

import logging

from pythonjsonlogger.json import JsonFormatter


def configure_logging(level: str) -> None:
    """Sends logs to standard error as JSON lines.

    Args:
        level: A level name of `logging`.
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
