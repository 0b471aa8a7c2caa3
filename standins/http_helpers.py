"""HTTP and socket helpers of the stand-ins."""

import contextlib
import json
import socket
import struct
import urllib.request

import eventlet
import eventlet.wsgi


def read_json(environ):
    """Returns the request's JSON body."""
    length = int(environ.get("CONTENT_LENGTH") or 0)
    return json.loads(environ["wsgi.input"].read(length) or b"{}")


def send_json(start_response, status: str, body) -> list[bytes]:
    """Starts a JSON response and returns its WSGI body."""
    data = json.dumps(body).encode()
    headers = [
        ("Content-Type", "application/json"),
        ("Content-Length", str(len(data))),
    ]
    start_response(status, headers)
    return [data]


def reset_connection(sock) -> None:
    """Closes a socket with a TCP reset (SO_LINGER with time 0)."""
    with contextlib.suppress(OSError):
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
        sock.shutdown(socket.SHUT_RD)
    sock.close()


def serve(port: int, application, pool=None):
    """Serves a WSGI application on loopback.

    Args:
        port: The TCP port.
        application: The application.
        pool: The green pool that serves the connections.

    Returns:
        The listening socket.
    """
    listener = eventlet.listen(
        ("127.0.0.1", port), backlog=1024, reuse_port=False
    )
    eventlet.spawn_n(_serve, listener, application, pool)
    return listener


def _serve(listener, application, pool) -> None:
    # The WSGI server raises OSError when its listening socket is shut down.
    with contextlib.suppress(OSError):
        eventlet.wsgi.server(
            listener, application, log_output=False, custom_pool=pool
        )


def fetch_text(port: int, path: str = "/") -> str:
    """Returns a page of a server on loopback.

    Raises:
        OSError: The server did not answer.
    """
    with urllib.request.urlopen(
        f"http://127.0.0.1:{port}{path}", timeout=1.0
    ) as response:
        return response.read().decode()
