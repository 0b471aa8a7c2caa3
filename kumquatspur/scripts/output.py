"""Output of the command-line tool."""

import json
import sys

from kumquatspur.core.records import Diagnostic


def print_errors(errors: list[Diagnostic]) -> None:
    """Prints errors to standard error, one a line."""
    for error in errors:
        print(f"{error.source}: {error.message}", file=sys.stderr)


def print_json(value) -> None:
    """Prints a value as indented JSON."""
    print(json.dumps(value, indent=2))
