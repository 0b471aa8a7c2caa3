"""Command-line arguments of `kumquatspur.scripts.platform_daemon`."""

from dataclasses import dataclass
from typing import Annotated

import cappa


@dataclass
class PlatformDaemon:
    """Serves clients of the platform until it is told to stop by SIGTERM.

    Example: kumquatspur-platformd --settings entry.json
    """

    settings: Annotated[
        str,
        cappa.Arg(
            long=True,
            help="Path of the JSON settings file; the platform's by default.",
        ),
    ] = ""
    log_level: Annotated[
        str, cappa.Arg(long=True, help="Lowest level that is logged.")
    ] = "WARNING"


def parse() -> PlatformDaemon:
    """Parses the command line of this process."""
    return cappa.parse(PlatformDaemon)
