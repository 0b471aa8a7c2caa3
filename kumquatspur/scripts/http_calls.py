"""HTTP calls of the command-line tool."""

import json

import urllib3

from kumquatspur.border.bounded_http import BoundedConnectionPool
from kumquatspur.core.records import Address, Diagnostic, record

TIMEOUT_S = 15.0

EXIT_OK = 0
EXIT_REFUSED = 1
EXIT_BAD_INPUT = 2
EXIT_CONFLICT = 3
EXIT_UNREACHABLE = 4


@record
class HttpReply:
    """An HTTP reply with a JSON body.

    Attributes:
        status: HTTP status.
        body: The decoded JSON body.
        headers: The headers.
    """

    status: int
    body: dict
    headers: dict


def parse_address(text: str) -> tuple[Address | None, list[Diagnostic]]:
    """Parses an IP address and port such as 127.0.0.1:21010.

    Returns:
        The address, or None, and the errors found.
    """
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit():
        return None, [Diagnostic(text, "is not an IP address and port")]
    return Address(host, int(port)), []


def call(
    method: str, address: Address, path: str, body=None, key: str = ""
) -> tuple[HttpReply | None, list[Diagnostic]]:
    """Sends a JSON request.

    Args:
        method: HTTP method.
        address: The server.
        path: Path of the resource.
        body: JSON value to send; None to send no body.
        key: Key of the administration API; "" for none.

    Returns:
        The reply, or None, and the errors found.
    """
    headers = {"Authorization": f"Bearer {key}"} if key else {}
    data = json.dumps(body) if body is not None else None
    return call_text(method, address, path, data, headers)


def call_text(
    method: str, address: Address, path: str, data: str | None, headers: dict
) -> tuple[HttpReply | None, list[Diagnostic]]:
    """Sends a request with a text body; the reply's body must be JSON.

    Args:
        method: HTTP method.
        address: The server.
        path: Path of the resource.
        data: The body; None to send no body.
        headers: The headers.

    Returns:
        The reply, or None, and the errors found.
    """
    pool = BoundedConnectionPool(address.host, address.port)
    try:
        response = pool.urlopen(
            method,
            path,
            body=data.encode() if data is not None else None,
            headers=headers,
            retries=False,
            timeout=TIMEOUT_S,
        )
        reply = HttpReply(
            response.status, json.loads(response.data), dict(response.headers)
        )
        return reply, []
    except (
        urllib3.exceptions.HTTPError,
        OSError,
        ValueError,
        RecursionError,
    ) as error:
        source = f"{address.host}:{address.port}"
        return None, [Diagnostic(source, f"no answer: {error}")]
    finally:
        pool.close()
