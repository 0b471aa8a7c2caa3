"""The entry-host daemon for the platform."""

import sys

from kumquatspur.scripts.early_signals import EarlySignals, exit_at_once

SIGNALS = EarlySignals()
SIGNALS.install()

from kumquatspur.platform.environment import settings_path  # noqa: E402
from kumquatspur.wire.early_listener import open_early_listener  # noqa: E402

# The platform starts this program without arguments. What follows takes long
# to load.
EARLY_LISTENER = (
    open_early_listener(settings_path())
    if __name__ == "__main__" and len(sys.argv) == 1
    else None
)
# Clients that have connected get their answers before a stop ends.
SIGNALS.accepts = EARLY_LISTENER is not None

import eventlet  # noqa: E402

eventlet.monkey_patch()

from kumquatspur.border.entry_settings import (  # noqa: E402
    decode_entry_settings,
    read_settings_text,
)
from kumquatspur.scripts.logs import configure_logging  # noqa: E402
from kumquatspur.wire.entry_host import EntryHost  # noqa: E402

EXIT_BAD_SETTINGS = 2
DEFAULT_LOG_LEVEL = "WARNING"


def main() -> int:
    """Runs the daemon.

    Returns:
        The exit code.
    """
    path, log_level = settings_path(), DEFAULT_LOG_LEVEL
    if len(sys.argv) > 1:
        # Imported only if needed: the command-line library takes longer to
        # load than everything else, and the platform starts this program
        # without arguments.
        from kumquatspur.scripts import platform_arguments

        arguments = platform_arguments.parse()
        path = arguments.settings or path
        log_level = arguments.log_level
    text, errors = read_settings_text(path)
    settings = None
    if text is not None:
        settings, errors = decode_entry_settings(path, text)
    for error in errors:
        print(f"{error.source}: {error.message}", file=sys.stderr)
    if settings is None:
        return EXIT_BAD_SETTINGS
    configure_logging(log_level)
    host = EntryHost(settings, path, EARLY_LISTENER, text)
    SIGNALS.attach(host.request_stop, host.request_reload)
    host.run()
    SIGNALS.ignore()
    return 0


if __name__ == "__main__":
    exit_at_once(main())
