"""Encodes and decodes the platform's HTTP headers."""

import re

from kumquatspur.core.records import Address
from kumquatspur.core.routing import ClientReply, LoadReport, SearcherReply

REQUEST_ID = b"kumquatspur-attempt-id"
TIME_LEFT = b"kumquatspur-deadline-ms"
EXPECTED_SEARCHER = b"kumquatspur-expected-instance"
SIGNATURE = b"kumquatspur-server-seal"
LOAD = b"kumquatspur-server-load"
NOT_EXECUTED = b"kumquatspur-not-executed"
PART_SIGNATURES = b"kumquatspur-part-seals"
MISSING_PARTS = b"kumquatspur-missing-parts"
LEAVING = b"server-leaving"
RETRY_AFTER = b"retry-after"
AUTHORIZATION = b"authorization"
ACCOUNT = b"kumquatspur-tenant-name"
LIMIT = b"server-limit"
WARMUP = b"kumquatspur-warmup-ms"

READY_PATH = "/readiness"

# Request headers that this system sets itself, so clients' values are removed.
# Servers that pass headers on as CGI variables do not tell "_" from "-".
OWN_REQUEST_HEADERS = frozenset(
    {
        TIME_LEFT,
        EXPECTED_SEARCHER,
        ACCOUNT,
        b"kumquatspur_tenant_name",
        b"kumquatspur_tenant-name",
        b"kumquatspur-tenant_name",
    }
)
# Reply headers that only entry hosts set, on merged answers. They are removed
# from searchers' replies, where they could be forged.
OWN_REPLY_HEADERS = frozenset({PART_SIGNATURES, MISSING_PARTS})
# Reply headers by which a searcher addresses this host. A client would take
# them for statements of the entry host.
HOST_REPLY_HEADERS = frozenset({LEAVING, RETRY_AFTER, LIMIT, WARMUP})
_REMOVED_REPLY_HEADERS = OWN_REPLY_HEADERS | HOST_REPLY_HEADERS

_MIN_LOAD_FIELDS = 3
_MAX_LOAD_DIGITS = 9
MISDIRECTED_REQUEST = 421
SERVICE_UNAVAILABLE = 503
_LEAVING_VALUE = b"1"
# A longer warm-up time is invalid: it would exclude a searcher for good.
_MAX_WARMUP_S = 3600.0
_MAX_LOGGED_BYTES = 40
_DECIMAL_PATTERN = re.compile(rb"\d{1,20}(\.\d{1,20})?")


def decode_load(value: bytes) -> LoadReport | None:
    """Decodes a searcher's load.

    Args:
        value: The header's value: the numbers of running requests, waiting
            requests and slots, and optionally the current processing time as
            a percentage of the searcher's usual one, separated by commas.

    Returns:
        The load, or None if the value is malformed.
    """
    parts = value.split(b",")
    if max(map(len, parts)) > _MAX_LOAD_DIGITS:
        return None
    try:
        figures = [int(part) for part in parts]
    except ValueError:
        return None
    if len(figures) < _MIN_LOAD_FIELDS or min(figures) < 0:
        return None
    work_time_ratio = (
        figures[3] / 100.0 if len(figures) > _MIN_LOAD_FIELDS else 1.0
    )
    return LoadReport(figures[0], figures[1], figures[2], work_time_ratio)


def decode_pause_s(value: bytes) -> float | None:
    """Decodes the time in which a searcher wants no requests from this host.

    Args:
        value: The header's value.

    Returns:
        The time in seconds; None for a date, a negative number or other text,
        which state no usable time.
    """
    return _decode_decimal(value)


def decode_limit_per_s(value: bytes) -> float | None:
    """Decodes the requests that a searcher takes from all hosts together.

    Args:
        value: The header's value.

    Returns:
        The limit in requests per second; None for a negative number or text,
        which state no usable limit.
    """
    return _decode_decimal(value)


def decode_warmup_s(value: bytes) -> float | None:
    """Decodes a searcher's remaining warm-up time.

    Args:
        value: The header's value, in milliseconds.

    Returns:
        The time in seconds; None for a negative number, more than an hour or
        text, which state no usable time.
    """
    milliseconds = _decode_decimal(value)
    if milliseconds is None or milliseconds > _MAX_WARMUP_S * 1000.0:
        return None
    return milliseconds / 1000.0


def _decode_decimal(value: bytes) -> float | None:
    value = value.strip()
    if _DECIMAL_PATTERN.fullmatch(value) is None:
        return None
    return float(value)


def decode_time_left_s(value: bytes) -> float | None:
    """Decodes the time until the client gives up.

    Args:
        value: The header's value, in milliseconds.

    Returns:
        The time in seconds, or None if the value is malformed or negative.
    """
    try:
        milliseconds = float(value)
    except ValueError:
        return None
    return milliseconds / 1000.0 if milliseconds >= 0 else None


def decode_reply(
    status: int, headers: tuple[tuple[bytes, bytes], ...], body: bytes
) -> SearcherReply:
    """Decodes a response of a searcher.

    Args:
        status: HTTP status.
        headers: End-to-end headers with names in lower case.
        body: The body.

    Returns:
        The response with the platform's headers decoded.
    """
    by_name = dict(headers)
    load = by_name.get(LOAD)
    retry_after = by_name.get(RETRY_AFTER)
    limit = by_name.get(LIMIT)
    warmup = by_name.get(WARMUP)
    warmup_left_s = decode_warmup_s(warmup) if warmup is not None else None
    invalid_warmup = ""
    if warmup is not None and warmup_left_s is None:
        invalid_warmup = repr(warmup[:_MAX_LOGGED_BYTES])
    pause_s = None
    if status == SERVICE_UNAVAILABLE and retry_after is not None:
        pause_s = decode_pause_s(retry_after)
    return SearcherReply(
        status=status,
        headers=tuple(h for h in headers if h[0] not in _REMOVED_REPLY_HEADERS),
        body=body,
        request_id=by_name.get(REQUEST_ID, b"").decode("latin-1"),
        signature=by_name.get(SIGNATURE, b"").decode("latin-1"),
        # The header's presence means that nothing was executed; its value is
        # not used. A searcher that has reused the address of the expected one
        # answers 421 without executing the request.
        not_executed=NOT_EXECUTED in by_name or status == MISDIRECTED_REQUEST,
        has_content_encoding=by_name.get(b"content-encoding", b"identity")
        != b"identity",
        load=decode_load(load) if load is not None else None,
        leaving=by_name.get(LEAVING, b"").strip() == _LEAVING_VALUE,
        pause_s=pause_s,
        limit_per_s=decode_limit_per_s(limit) if limit is not None else None,
        warmup_left_s=warmup_left_s,
        invalid_warmup=invalid_warmup,
    )


def without_authorization(
    headers: tuple[tuple[bytes, bytes], ...],
) -> tuple[tuple[bytes, bytes], ...]:
    """Returns the headers without those that may contain a key.

    Args:
        headers: Headers with names in lower case.
    """
    return tuple(item for item in headers if item[0] != AUTHORIZATION)


def encode_searcher_headers(
    searcher_id: str, time_left_s: float, account: str | None = None
) -> bytes:
    """Returns the header lines that are added to a request to a searcher.

    Args:
        searcher_id: Identifier of the searcher that should process it.
        time_left_s: Time until the client gives up, in seconds.
        account: Name of the request's client account; None if it has none.
    """
    milliseconds = max(1, int(time_left_s * 1000.0))
    account_line = (
        "" if account is None else f"Kumquatspur-Tenant-Name: {account}\r\n"
    )
    return (
        f"Kumquatspur-Deadline-Ms: {milliseconds}\r\n"
        f"Kumquatspur-Expected-Instance: {searcher_id}\r\n"
        f"{account_line}"
    ).encode()


def encode_health_check(
    path: str, address: Address, searcher_id: str, request_id: str
) -> bytes:
    """Returns the request that checks the health of a searcher.

    Args:
        path: Path of the health check.
        address: Address of the searcher.
        searcher_id: Identifier of the searcher that should answer.
        request_id: Identifier of the request.
    """
    return (
        f"GET {path} HTTP/1.1\r\n"
        f"Host: {address.host}:{address.port}\r\n"
        f"Kumquatspur-Attempt-Id: {request_id}\r\n"
        f"Kumquatspur-Expected-Instance: {searcher_id}\r\n\r\n"
    ).encode()


def merged_reply(
    signatures: list[str], missing: int, body: bytes
) -> ClientReply:
    """Returns the answer to a scattered request.

    Args:
        signatures: Signatures of the merged searchers' replies.
        missing: Number of shards that are missing from the answer.
        body: The merged records.
    """
    return ClientReply(
        200,
        (
            (b"Kumquatspur-Part-Seals", ", ".join(signatures).encode()),
            (b"Kumquatspur-Missing-Parts", str(missing).encode()),
            (b"Content-Type", b"application/octet-stream"),
        ),
        body,
    )
