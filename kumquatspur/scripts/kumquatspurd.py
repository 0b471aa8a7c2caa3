"""The daemon of an entry host."""

import sys

from kumquatspur.scripts.early_signals import EarlySignals

SIGNALS = EarlySignals()
SIGNALS.install()

import eventlet  # noqa: E402

eventlet.monkey_patch()

from dataclasses import dataclass  # noqa: E402
from typing import Annotated  # noqa: E402

import cappa  # noqa: E402

from kumquatspur.border.settings import read_settings  # noqa: E402
from kumquatspur.scripts.logs import configure_logging  # noqa: E402
from kumquatspur.wire.shell import Shell  # noqa: E402

EXIT_BAD_SETTINGS = 2


@dataclass
class Daemon:
    """Serves callers until it is told to stop by SIGTERM.

    Example: kumquatspurd --settings oslo-1-a.json
    """

    settings: Annotated[
        str, cappa.Arg(long=True, help="Path of the JSON settings file.")
    ]
    log_level: Annotated[
        str, cappa.Arg(long=True, help="Lowest level that is logged.")
    ] = "INFO"


def main() -> int:
    """Runs the daemon.

    Returns:
        The exit code.
    """
    arguments = cappa.parse(Daemon)
    settings, errors = read_settings(arguments.settings)
    for error in errors:
        print(f"{error.source}: {error.message}", file=sys.stderr)
    if settings is None:
        return EXIT_BAD_SETTINGS
    configure_logging(arguments.log_level)
    shell = Shell(settings)
    SIGNALS.attach(shell.request_stop, shell.request_reload)
    shell.run()
    SIGNALS.ignore()
    return 0


if __name__ == "__main__":
    sys.exit(main())
