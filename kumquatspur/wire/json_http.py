"""Helpers for JSON over WSGI."""

import json
from http import HTTPStatus

import eventlet

from kumquatspur.core.records import Diagnostic, record

# Key in the WSGI environment of a function that closes the connection after the
# reply. It is called when the rest of the request is not read.
CLOSE_KEY = "kumquatspur.close_after_reply"
# Time limit for the arrival of a request body.
BODY_TIMEOUT_S = 5.0
MAX_LENGTH_DIGITS = 18


@record
class Reply:
    """An HTTP reply.

    Attributes:
        status: The status.
        body: The JSON body.
        headers: Additional headers.
    """

    status: HTTPStatus
    body: dict
    headers: tuple[tuple[str, str], ...] = ()


def send(reply: Reply, start_response) -> list[bytes]:
    """Sends a reply.

    Args:
        reply: The reply.
        start_response: The WSGI callable of that name.

    Returns:
        The body, as a WSGI iterable.
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
        errors: The errors found in the request.
        headers: Additional headers.

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
    """Reads the body of a request.

    Args:
        environ: The WSGI environment.
        max_bytes: The maximum size of the body.

    Returns:
        The body, and None or the error reply if the body is not accepted.
    """
    length, error = _body_length(environ, max_bytes)
    if error is not None:
        _close_after_reply(environ)
        return b"", error
    try:
        with eventlet.Timeout(
            BODY_TIMEOUT_S, TimeoutError("request body timed out")
        ):
            body = environ["wsgi.input"].read(length)
    except OSError:
        _close_after_reply(environ)
        status = HTTPStatus.REQUEST_TIMEOUT
        return b"", _rejection(status, "body", "did not arrive in time")
    if len(body) < length:
        _close_after_reply(environ)
        message = "ended before Content-Length"
        return b"", _rejection(HTTPStatus.BAD_REQUEST, "body", message)
    return body, None


def _body_length(environ, max_bytes: int) -> tuple[int, Reply | None]:
    given = {
        value
        for name, value in environ.get("headers_raw", ())
        if name.lower() == "content-length"
    }
    text = environ.get("CONTENT_LENGTH") or ""
    if len(given) > 1:
        message = "must be given once"
        return 0, _rejection(HTTPStatus.BAD_REQUEST, "Content-Length", message)
    if not (text.isascii() and text.isdecimal()):
        message = "is required, as a number"
        status = HTTPStatus.LENGTH_REQUIRED
        return 0, _rejection(status, "Content-Length", message)
    # int() accepts no number of thousands of digits.
    if len(text) > MAX_LENGTH_DIGITS or int(text) > max_bytes:
        message = f"must be at most {max_bytes} bytes"
        status = HTTPStatus.REQUEST_ENTITY_TOO_LARGE
        return 0, _rejection(status, "body", message)
    return int(text), None


def _rejection(status: HTTPStatus, source: str, message: str) -> Reply:
    return error_reply(status, "bad_request", [Diagnostic(source, message)])


def _close_after_reply(environ) -> None:
    close = environ.get(CLOSE_KEY)
    if close is not None:
        close()
