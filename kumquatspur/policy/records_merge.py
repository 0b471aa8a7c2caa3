"""Merges the records of the parts of a scattered request."""

import heapq
from collections.abc import Iterable

RECORD_BYTES = 16


def greatest_records(parts: Iterable[bytes], limit: int) -> bytes:
    """Returns the greatest records of some parts, greatest first.

    Args:
        parts: Bodies of 16-byte records in any order. A remainder that is
            shorter is no record.
        limit: The number of records wanted.

    Returns:
        The records, one after the other.
    """
    records = []
    for part in parts:
        end = len(part) - len(part) % RECORD_BYTES
        records += [
            part[at : at + RECORD_BYTES] for at in range(0, end, RECORD_BYTES)
        ]
    return b"".join(heapq.nlargest(limit, records))
