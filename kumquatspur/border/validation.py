"""Errors of validated models as diagnostics."""

import pydantic

from kumquatspur.core.records import Diagnostic


def validation_diagnostics(
    source: str, error: pydantic.ValidationError
) -> list[Diagnostic]:
    """Converts a validation error.

    Args:
        source: Name of the input, such as a file name.
        error: The error raised by a model.

    Returns:
        One diagnostic a wrong field, with its path.
    """
    diagnostics = []
    for item in error.errors(include_url=False):
        path = ".".join(str(part) for part in item["loc"])
        diagnostics.append(Diagnostic(f"{source}: {path}", item["msg"]))
    return diagnostics
