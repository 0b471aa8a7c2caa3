"""Merges the binary records in the partial results of a scattered request."""

import heapq
from collections.abc import Iterable

RECORD_BYTES = 16


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
        records += [
            part[at : at + RECORD_BYTES] for at in range(0, end, RECORD_BYTES)
        ]
    return b"".join(heapq.nlargest(limit, records))
