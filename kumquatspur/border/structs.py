"""Validated models that are decoded by a host on the platform.

They are structs of msgspec, which loads in a tenth of pydantic's time. A host
that starts again answers that much sooner.
"""

import re
from typing import TypeVar

import msgspec

from kumquatspur.core.records import Diagnostic

StructT = TypeVar("StructT", bound=msgspec.Struct)

# msgspec names the invalid field at the end of its message, and a check of a
# whole struct at the beginning.
_PATH_AT_END = re.compile(r"(.*) - at `\$\.?(.*)`", re.DOTALL)
_INDEX = re.compile(r"\[(\d+|\.\.\.)\]")
_PATH_AT_START = re.compile(r"([a-z_]+): (.*)", re.DOTALL)


def struct_diagnostic(source: str, error: Exception) -> Diagnostic:
    """Converts an error of decoding or validation.

    Args:
        source: Name of the input, such as a file name.
        error: The error raised by msgspec.

    Returns:
        A diagnostic with the path of the first invalid field.
    """
    text = str(error)
    if not isinstance(error, msgspec.ValidationError):
        return Diagnostic(source, f"is not JSON: {text}")
    if match := _PATH_AT_END.fullmatch(text):
        path = _INDEX.sub(r".\1", match[2])
        return Diagnostic(f"{source}: {path}", match[1])
    if match := _PATH_AT_START.fullmatch(text):
        return Diagnostic(f"{source}: {match[1]}", match[2])
    return Diagnostic(source, text)


def decode_json(
    source: str, data: bytes, struct: type[StructT], strict: bool = True
) -> tuple[StructT | None, list[Diagnostic]]:
    """Decodes and validates JSON.

    Args:
        source: Name of the input, for errors.
        data: The bytes.
        struct: Type of the content.
        strict: Whether numbers must not be written as text, nor whole numbers
            as 2.0.

    Returns:
        The content, or None, and the errors found.
    """
    try:
        return msgspec.json.decode(data, type=struct, strict=strict), []
    except (msgspec.MsgspecError, UnicodeError, RecursionError) as error:
        return None, [struct_diagnostic(source, error)]
