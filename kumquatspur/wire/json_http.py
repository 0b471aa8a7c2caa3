"""Helpers for JSON over WSGI."""

import json
from http import HTTPStatus

from kumquatspur.core.records import Diagnostic, record


@record
class Reply:
    """An HTTP reply.

    Attributes:
        status: The status.
        body: The JSON body.
        headers: Further headers.
    """

    status: HTTPStatus
    body: dict
    headers: tuple[tuple[str, str], ...] = ()


def send(reply: Reply, start_response) -> list[bytes]:
    """Sends a reply.

    Args:
        reply: The reply.
        start_response: WSGI's function of that name.

    Returns:
        The body, as WSGI wants it.
    """
    data = json.dumps(reply.body).encode() + b"\n"
    headers = [
        ("Content-Type", "application/json"),
        ("Content-Length", str(len(data))),
        *reply.headers,
    ]
    start_response(f"{reply.status.value} {reply.status.phrase}", headers)
    return [data]


def error_reply(
    status: HTTPStatus, reason: str, errors: list[Diagnostic], headers=()
) -> Reply:
    """Builds the reply to a request that was rejected and not run.

    Args:
        status: The status.
        reason: A short machine-readable reason.
        errors: What is wrong.
        headers: Further headers.

    Returns:
        The reply.
    """
    body = {
        "verdict": "not_run",
        "error": {
            "reason": reason,
            "message": "; ".join(f"{e.source}: {e.message}" for e in errors),
            "details": [
                {"source": e.source, "message": e.message} for e in errors
            ],
        },
    }
    return Reply(status, body, tuple(headers))


def read_body(environ, max_bytes: int) -> tuple[bytes, Reply | None]:
    """Reads a request's body.

    Args:
        environ: WSGI's environment.
        max_bytes: The longest body accepted.

    Returns:
        The body, and an error reply if it cannot be accepted.
    """
    text = environ.get("CONTENT_LENGTH") or ""
    if not text.isdigit():
        errors = [Diagnostic("Content-Length", "is required, as a number")]
        return b"", error_reply(
            HTTPStatus.LENGTH_REQUIRED, "bad_request", errors
        )
    length = int(text)
    if length > max_bytes:
        errors = [Diagnostic("body", f"must be at most {max_bytes} bytes")]
        close = (("Connection", "close"),)
        return b"", error_reply(
            HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "bad_request", errors, close
        )
    body = environ["wsgi.input"].read(length)
    if len(body) < length:
        errors = [Diagnostic("body", "ended before Content-Length")]
        return b"", error_reply(HTTPStatus.BAD_REQUEST, "bad_request", errors)
    return body, None
