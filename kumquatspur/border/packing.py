"""Encoding of messages between entry hosts on the platform.

A message is msgpack, compressed with zlib, and is validated when decoded.
"""

import sys
import zlib
from typing import Annotated, TypeVar

import msgpack
import msgspec

# Limits the memory that a compressed message can occupy.
MAX_UNPACKED_BYTES = 8 * 1024 * 1024
# The fastest level suffices: most of a message is repetitive text.
COMPRESSION_LEVEL = 1


# msgpack decodes these types itself.
_NATIVE_TYPES = (bytes,)


class Message(msgspec.Struct, frozen=True):
    """A message, or a part of one; unknown fields are ignored."""


NonNegative = Annotated[float, msgspec.Meta(ge=0, le=sys.float_info.max)]
Positive = Annotated[float, msgspec.Meta(gt=0, le=sys.float_info.max)]
# Decoders of msgpack in all languages read integers of this size.
MAX_COUNT = 2**63 - 1
Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
NonEmptyStr = Annotated[str, msgspec.Meta(min_length=1)]


MessageT = TypeVar("MessageT", bound=Message)


def pack(message: Message) -> bytes:
    """Encodes a message.

    Raises:
        ValueError: A number or text of the message cannot be encoded.
    """
    fields = msgspec.to_builtins(message, builtin_types=_NATIVE_TYPES)
    try:
        packed = msgpack.packb(fields)
    except OverflowError as error:
        raise ValueError(f"{type(message).__name__}: {error}") from error
    return zlib.compress(packed, COMPRESSION_LEVEL)


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
        return msgspec.convert(
            msgpack.unpackb(packed), message_type, builtin_types=_NATIVE_TYPES
        )
    except msgspec.ValidationError as error:
        # The text names types and fields, not the input, which may have the
        # keys of accounts.
        raise ValueError(f"{message_type.__name__}: {error}"[:200]) from None
    except (zlib.error, msgpack.UnpackException) as error:
        # Shortened because the text is sent to the peer.
        raise ValueError(str(error)[:200]) from error
