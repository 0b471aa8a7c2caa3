"""Where the platform puts the settings of a process."""

import os

SETTINGS_VARIABLE = "KUMQUATSPUR_NODE_FILE"


def settings_path() -> str:
    """Returns the path of the settings file; "" if the platform set none."""
    return os.environ.get(SETTINGS_VARIABLE, "")
