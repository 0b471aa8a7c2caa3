"""Compressed text encoding of file contents, as stored and sent by hosts."""

import base64
import zlib

from kumquatspur.border.config_files import content_hash

MAX_CONTENT_BYTES = 1_000_000


def pack_text(text: str) -> str:
    """Compresses a file's content and encodes it as Base85 text."""
    return base64.b85encode(zlib.compress(text.encode())).decode()


def unpack_text(packed: str) -> str:
    """Decodes and decompresses a file's content.

    Raises:
        ValueError: The input is malformed, or its content is longer than
            MAX_CONTENT_BYTES.
    """
    decompressor = zlib.decompressobj()
    try:
        data = base64.b85decode(packed)
        content = decompressor.decompress(data, MAX_CONTENT_BYTES)
    except zlib.error as error:
        raise ValueError(str(error)) from error
    if not decompressor.eof:
        raise ValueError(
            f"content is truncated or longer than {MAX_CONTENT_BYTES} bytes"
        )
    return content.decode()


def content_matches(packed: str, digest: str) -> bool:
    """Returns whether packed content has the content hash `digest`."""
    try:
        return content_hash(unpack_text(packed)) == digest
    except ValueError:
        return False
