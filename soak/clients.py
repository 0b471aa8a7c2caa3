"""Clients that keep their connections until the host closes them."""

import http.client
import random

import eventlet

from soak.promises import Seen
from standins.platform_deployment import LOCAL, Host

CALL_TIMEOUT_S = 3.0
PAUSE_S = (0.02, 0.15)
DEADLINES_MS = (100, 500)
# Share of the requests whose client leaves before the answer.
LEAVING_SHARE = 0.03


class Client:
    """Sends one request after the other to one host.

    Attributes:
        seen: Its requests and what it saw.
    """

    def __init__(self, host: Host, name: str, seed: int):
        self.seen = []
        self._host = host
        self._name = f"{seed}-{name}"
        self._rng = random.Random(self._name)
        self._connection = None
        self._thread = eventlet.spawn(self._run)

    def stop(self) -> None:
        """Ends it."""
        self._thread.kill()

    def _run(self) -> None:
        while True:
            eventlet.sleep(self._rng.uniform(*PAUSE_S))
            self._ask(self._next())

    def _next(self) -> Seen:
        request_id = f"{self._name}-{len(self.seen)}"
        kind = self._rng.choice(("all", "all", "one", "once"))
        item = Seen(request_id, f"/{kind}/{request_id}", kind != "once")
        if kind == "once":
            item.body = request_id.encode()
        self.seen.append(item)
        return item

    def _ask(self, item: Seen) -> None:
        if self._connection is None:
            self._connection = http.client.HTTPConnection(
                LOCAL, self._host.ports[0], timeout=CALL_TIMEOUT_S
            )
        fields = {
            "Host": "shop.example",
            "Kumquatspur-Attempt-Id": item.request_id,
            "Kumquatspur-Deadline-Ms": str(self._rng.choice(DEADLINES_MS)),
        }
        method = "GET" if item.repeatable else "POST"
        try:
            self._connection.request(
                method, item.path, item.body or None, fields
            )
            if self._rng.random() < LEAVING_SHARE:
                eventlet.sleep(0.01)
                self._drop()
                return
            response = self._connection.getresponse()
            body = response.read()
        except (OSError, http.client.HTTPException):
            self._drop()
            return
        found = {name.lower(): value for name, value in response.getheaders()}
        item.reply = (response.status, found, body)

    def _drop(self) -> None:
        self._connection.close()
        self._connection = None
