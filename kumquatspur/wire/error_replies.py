"""Error answers that an entry host creates itself."""

from kumquatspur.core.routing import ClientReply

# Statuses that promise that the request has not run and never will.
NOT_RUN_STATUSES = frozenset({429, 503, 408, 421})
UNAUTHORIZED = 401


def error_reply(
    status: int, reason: str, retry_after_s: float = 0.0
) -> ClientReply:
    """Returns an error answer created by this host.

    Args:
        status: HTTP status.
        reason: Reason of the error; sent as the body.
        retry_after_s: Delay before a retry, in seconds; sent if the status
            says that the request has not run.
    """
    fields = [(b"Content-Type", b"text/plain")]
    if status == UNAUTHORIZED:
        # HTTP requires it with this status.
        fields.append((b"WWW-Authenticate", b"Bearer"))
    if status in NOT_RUN_STATUSES and retry_after_s:
        fields.append((b"Retry-After", f"{retry_after_s:.3f}".encode()))
    return ClientReply(status, tuple(fields), f"{reason}\n".encode())
