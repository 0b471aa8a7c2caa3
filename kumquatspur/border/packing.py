"""Encoding of messages between entry hosts on the platform.

A message is msgpack, compressed with zlib, and is validated when decoded.
"""

import zlib
from typing import TypeVar

import msgpack
import pydantic

from kumquatspur.border.validation import validation_diagnostics

# Limits the memory that a compressed message can occupy.
MAX_UNPACKED_BYTES = 8 * 1024 * 1024
# The fastest level suffices: most of a message is repetitive text.
COMPRESSION_LEVEL = 1


class Message(pydantic.BaseModel):
    """A message, or a part of one."""

    model_config = pydantic.ConfigDict(frozen=True, extra="ignore")


MessageT = TypeVar("MessageT", bound=Message)


def pack(message: Message) -> bytes:
    """Encodes a message."""
    return zlib.compress(msgpack.packb(message.model_dump()), COMPRESSION_LEVEL)


def unpack(data: bytes, message_type: type[MessageT]) -> MessageT:
    """Decodes a message.

    Args:
        data: The bytes received.
        message_type: The type of the message.

    Raises:
        ValueError: The bytes are not a valid message of this type.
    """
    decompressor = zlib.decompressobj()
    try:
        packed = decompressor.decompress(data, MAX_UNPACKED_BYTES)
        if not decompressor.eof:
            raise ValueError("message cut short, or too long")
        return message_type.model_validate(msgpack.unpackb(packed))
    except pydantic.ValidationError as error:
        # The text of the error itself contains the input, which may have the
        # keys of accounts.
        found = validation_diagnostics(message_type.__name__, error)[0]
        raise ValueError(f"{found.source}: {found.message}"[:200]) from None
    except (zlib.error, msgpack.UnpackException) as error:
        # Shortened because the text is sent to the peer.
        raise ValueError(str(error)[:200]) from error
