"""Limits on the size of a response that a host reads.

Load pattern: a searcher in trouble sends header lines, interim responses or a
body without end. Each byte counts against the memory of the host until the
response ends, and other calls are in flight at the same time.
"""

# Share of the host's memory for the bodies of all responses in flight.
BODY_MEMORY_SHARE = 0.1
# A body is held twice for a moment, when its chunks are joined.
COPIES = 2
MIN_BODY_BYTES = 256 * 1024
MAX_BODY_BYTES = 8 * 1024 * 1024
# Limit of the status line and headers of a response, of the interim responses
# before it and of the responses to other requests together.
MAX_HEAD_BYTES = 64 * 1024
# Bytes of chunk headers and trailers per byte of body, besides MAX_HEAD_BYTES.
MAX_FRAMING_RATIO = 8
# Parsing costs time by chunk and by header, however short they are. Responses
# may have this many chunks, and one more for each BYTES_PER_CHUNK of body.
MIN_CHUNKS = 16 * 1024
BYTES_PER_CHUNK = 64
MAX_HEADERS = 512


def max_body_bytes(memory_mb: float, calls: int) -> int:
    """Returns how long the body of one response may be.

    Args:
        memory_mb: Memory limit of the process, in MB.
        calls: Number of calls in flight, this one included.
    """
    share = memory_mb * 1e6 * BODY_MEMORY_SHARE / (COPIES * max(1, calls))
    return int(min(MAX_BODY_BYTES, max(MIN_BODY_BYTES, share)))


def max_chunks(body_bytes: int) -> int:
    """Returns how many chunks a response may have.

    Args:
        body_bytes: Length of its body so far.
    """
    return MIN_CHUNKS + body_bytes // BYTES_PER_CHUNK


def max_framing_bytes(body_bytes: int) -> int:
    """Returns how many bytes of a message may be outside of its body.

    Args:
        body_bytes: Length of its body so far.
    """
    return MAX_HEAD_BYTES + MAX_FRAMING_RATIO * body_bytes
