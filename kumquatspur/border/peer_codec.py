"""Codec of messages between entry hosts; validates received messages.

A frame is one msgpack array: the message's type name and a map of its fields.
"""

from typing import Any

import msgpack
import pydantic

from kumquatspur.core import messages

MAX_FRAME_BYTES = 4 * 1024 * 1024
MAX_CONTAINER_ITEMS = 100_000

# The message types are wrapped in a tuple because pydantic does not accept a
# configuration for the adapter of a plain data class. The tuple's configuration
# also applies to the classes in it.
_FINITE_NUMBERS = pydantic.ConfigDict(allow_inf_nan=False)
_ADAPTERS = {
    message_type.__name__: pydantic.TypeAdapter(
        tuple[message_type], config=_FINITE_NUMBERS
    )
    for message_type in messages.MESSAGE_TYPES
}


class CodecError(Exception):
    """A frame that is not a valid message."""


def encode(message: Any) -> bytes:
    """Encodes a message.

    Args:
        message: An instance of one of `messages.MESSAGE_TYPES`.

    Returns:
        One msgpack frame.
    """
    name = type(message).__name__
    (fields,) = _ADAPTERS[name].dump_python((message,), mode="json")
    return msgpack.packb([name, fields])


def decode(frame: Any) -> Any:
    """Validates an unpacked frame.

    Args:
        frame: The unpacked msgpack value.

    Returns:
        The message.

    Raises:
        CodecError: The frame is not a valid message.
    """
    if not isinstance(frame, list) or len(frame) != 2:
        raise CodecError("frame is not an array of a type name and fields")
    adapter = _ADAPTERS.get(frame[0]) if isinstance(frame[0], str) else None
    if adapter is None:
        raise CodecError("unknown message type")
    try:
        return adapter.validate_python((frame[1],))[0]
    except pydantic.ValidationError as error:
        raise CodecError(str(error)) from error


def new_unpacker() -> msgpack.Unpacker:
    """Returns an incremental decoder of frames."""
    return msgpack.Unpacker(
        max_buffer_size=MAX_FRAME_BYTES,
        max_array_len=MAX_CONTAINER_ITEMS,
        max_map_len=MAX_CONTAINER_ITEMS,
    )
