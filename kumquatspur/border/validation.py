"""Reads and validates models and converts errors to diagnostics."""

import json
import pathlib
from typing import TypeVar

import pydantic

from kumquatspur.core.records import Diagnostic

Model = TypeVar("Model", bound=pydantic.BaseModel)


def validation_diagnostics(
    source: str, error: pydantic.ValidationError
) -> list[Diagnostic]:
    """Converts a validation error.

    Args:
        source: Name of the input, such as a file name.
        error: The error raised by a model.

    Returns:
        One diagnostic per invalid field, with the field's path.
    """
    diagnostics = []
    for item in error.errors(include_url=False):
        path = ".".join(str(part) for part in item["loc"])
        diagnostics.append(Diagnostic(f"{source}: {path}", item["msg"]))
    return diagnostics


def read_json_file(
    path: str, model: type[Model]
) -> tuple[Model | None, list[Diagnostic]]:
    """Reads and validates a JSON file.

    Args:
        path: Path of the file.
        model: Model class of the file's content.

    Returns:
        The model, or None, and the errors found.
    """
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return None, [Diagnostic(path, f"cannot be read: {error}")]
    try:
        raw = json.loads(text)
    except json.JSONDecodeError as error:
        source = f"{path}:{error.lineno}"
        return None, [Diagnostic(source, f"is not JSON: {error.msg}")]
    except (ValueError, RecursionError) as error:
        return None, [Diagnostic(path, f"is not JSON: {error}")]
    try:
        return model.model_validate(raw), []
    except pydantic.ValidationError as error:
        return None, validation_diagnostics(path, error)
