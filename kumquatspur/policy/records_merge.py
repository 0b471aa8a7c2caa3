"""Merges the binary records in the partial results of a scattered request."""

import functools
import heapq
import struct
from collections.abc import Iterable

RECORD_BYTES = 16


def _unpack(part: bytes) -> tuple[bytes, ...]:
    return _record_format(len(part) // RECORD_BYTES).unpack(part)


@functools.lru_cache(maxsize=1024)
def _record_format(count: int) -> struct.Struct:
    return struct.Struct(f"{RECORD_BYTES}s" * count)


def greatest_records(parts: Iterable[bytes], limit: int) -> bytes:
    """Returns the greatest records of several parts in descending order.

    Records are compared byte by byte as unsigned numbers.

    Args:
        parts: Response bodies of 16-byte records in any order. An incomplete
            record at the end of a body is ignored.
        limit: Maximum number of records to return.

    Returns:
        The concatenated records.
    """
    records = []
    for part in parts:
        end = len(part) - len(part) % RECORD_BYTES
        records += _unpack(part[:end])
    return b"".join(heapq.nlargest(limit, records))
