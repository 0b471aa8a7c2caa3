"""The daemon of an entry host on the platform."""

import signal
import sys

signal.signal(signal.SIGTERM, lambda *_: sys.exit(0))

import eventlet  # noqa: E402

eventlet.monkey_patch()

from dataclasses import dataclass  # noqa: E402
from typing import Annotated  # noqa: E402

import cappa  # noqa: E402

from kumquatspur.border.entry_settings import read_entry_settings  # noqa: E402
from kumquatspur.platform.environment import settings_path  # noqa: E402
from kumquatspur.scripts.logs import configure_logging  # noqa: E402
from kumquatspur.wire.entry_host import EntryHost  # noqa: E402

EXIT_BAD_SETTINGS = 2


@dataclass
class PlatformDaemon:
    """Serves clients of the platform until it is told to stop by SIGTERM.

    Example: kumquatspur-entry --settings entry.json
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


def main() -> int:
    """Runs the daemon.

    Returns:
        The exit code.
    """
    arguments = cappa.parse(PlatformDaemon)
    path = arguments.settings or settings_path()
    settings, errors = read_entry_settings(path)
    for error in errors:
        print(f"{error.source}: {error.message}", file=sys.stderr)
    if settings is None:
        return EXIT_BAD_SETTINGS
    configure_logging(arguments.log_level)
    host = EntryHost(settings, path)
    # Handlers only set flags: they may interrupt any green thread.
    signal.signal(signal.SIGTERM, lambda *_: host.request_stop())
    signal.signal(signal.SIGINT, lambda *_: host.request_stop())
    signal.signal(signal.SIGHUP, lambda *_: host.request_reload())
    host.run()
    return 0


if __name__ == "__main__":
    sys.exit(main())
