"""Environment variables that the platform sets for a process."""

import os

SETTINGS_VARIABLE = "KUMQUATSPUR_NODE_FILE"


def settings_path() -> str:
    """Returns the path of the settings file; "" if the variable is not set."""
    return os.environ.get(SETTINGS_VARIABLE, "")
