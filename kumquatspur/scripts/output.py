"""Output of the command-line tool."""

import io
import json
import pathlib
import sys

from kumquatspur.core.records import Diagnostic


def print_errors(errors: list[Diagnostic]) -> None:
    """Prints errors to standard error, one per line."""
    for error in errors:
        print(f"{error.source}: {error.message}", file=sys.stderr)


def print_json(value) -> None:
    """Prints a value as indented JSON."""
    print(json.dumps(value, indent=2))


def write_page(path: str, page: str) -> list[Diagnostic]:
    """Writes an HTML page to a file and prints errors.

    Args:
        path: Path of the file.
        page: The page's content.

    Returns:
        The errors, already printed.
    """
    try:
        pathlib.Path(path).write_text(page, encoding="utf-8")
    except OSError as error:
        errors = [Diagnostic(path, f"cannot be written: {error}")]
        print_errors(errors)
        return errors
    return []


def html_row(cells) -> str:
    """Returns a row of an HTML table; the cells must be escaped."""
    return "<tr>" + "".join(f"<td>{cell}" for cell in cells) + "</tr>"


def svg(figure) -> str:
    """Renders a matplotlib figure as an SVG element for an HTML page."""
    text = io.StringIO()
    figure.savefig(text, format="svg")
    return text.getvalue()[text.getvalue().index("<svg") :]
