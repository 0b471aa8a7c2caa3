"""Clients that reuse their connection until the host closes it."""

import http.client
import random

import eventlet

from soak.invariants import ClientRequest
from standins.platform_deployment import (
    HostProcess,
    connect,
    read_reply,
    request_fields,
)

PAUSE_S = (0.02, 0.15)
DEADLINES_MS = (100, 500)
# Share of requests whose client disconnects before the answer.
DISCONNECT_SHARE = 0.03
CONTENT_COUNT = 3


class Client:
    """Sends one request after the other to one host.

    Attributes:
        requests: The requests with their replies.
    """

    def __init__(self, host: HostProcess, name: str, seed: int):
        self.requests = []
        self._host = host
        self._name = f"{seed}-{name}"
        self._rng = random.Random(self._name)
        self._connection = None
        self._thread = eventlet.spawn(self._run)

    def stop(self) -> None:
        """Stops the client."""
        self._thread.kill()

    def _run(self) -> None:
        while True:
            eventlet.sleep(self._rng.uniform(*PAUSE_S))
            self._send(self._next_request())

    def _next_request(self) -> ClientRequest:
        request_id = f"{self._name}-{len(self.requests)}"
        kind = self._rng.choice(("all", "all", "one", "once"))
        # Few contents, so that they repeat: failures of several requests with
        # one content must not count as crashes by the content.
        content = self._rng.randrange(CONTENT_COUNT)
        request = ClientRequest(
            request_id, f"/{kind}/{content}", kind != "once"
        )
        if kind == "once":
            request.body = request_id.encode()
        self.requests.append(request)
        return request

    def _send(self, request: ClientRequest) -> None:
        if self._connection is None:
            self._connection = connect(self._host)
        deadline_ms = self._rng.choice(DEADLINES_MS)
        fields = request_fields(request.request_id, deadline_ms)
        method = "GET" if request.repeatable else "POST"
        try:
            self._connection.request(
                method, request.path, request.body or None, fields
            )
            if self._rng.random() < DISCONNECT_SHARE:
                eventlet.sleep(0.01)
                self._disconnect()
                return
            request.reply = read_reply(self._connection)
        except (OSError, http.client.HTTPException):
            self._disconnect()

    def _disconnect(self) -> None:
        self._connection.close()
        self._connection = None
