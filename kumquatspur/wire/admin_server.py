"""HTTP server for operators, on its own port and with its own key."""

import dataclasses
import hmac
from http import HTTPStatus

from kumquatspur.core.records import Diagnostic
from kumquatspur.wire.json_http import Reply, error_reply, send


class AdminServer:
    """The operators' WSGI application.

    Attributes:
        shell: The I/O layer that runs the node.
    """

    def __init__(self, shell):
        self.shell = shell

    def __call__(self, environ, start_response):
        """Serves one request."""
        if not self._authorized(environ):
            errors = [Diagnostic("Authorization", "the key is wrong")]
            reply = error_reply(HTTPStatus.UNAUTHORIZED, "unauthorized", errors)
            return send(reply, start_response)
        route = (environ["REQUEST_METHOD"], environ["PATH_INFO"])
        handler = _ROUTES.get(route)
        if handler is None:
            errors = [Diagnostic(environ["PATH_INFO"], "no such resource")]
            reply = error_reply(HTTPStatus.NOT_FOUND, "not_found", errors)
            return send(reply, start_response)
        return send(handler(self), start_response)

    def status(self) -> Reply:
        """Describes this node and what it knows of the others."""
        board = self.shell.node.board
        now = self.shell.now()
        members = [
            {
                "name": member.name,
                "zone": member.zone,
                "alive": board.alive(member, now),
                "leaving": member.leaving,
                "revision": member.revision,
            }
            for member in board.members.values()
        ]
        body = {
            "name": board.settings.name,
            "zone": board.settings.zone,
            "revision": board.configuration.revision,
            "stopping": board.stopping,
            "owned": sorted(board.queues),
            "in_flight": len(board.queries),
            "members": sorted(members, key=lambda entry: entry["name"]),
        }
        return Reply(HTTPStatus.OK, body)

    def metrics(self) -> Reply:
        """Returns all metrics of this node."""
        board = self.shell.node.board
        body = self.shell.metrics.export(self.shell.now())
        body["name"] = board.settings.name
        body["decisions"] = dict(sorted(board.counters.items()))
        body["objectives"] = {
            name: dataclasses.asdict(service.objectives)
            for name, service in board.configuration.services.items()
        }
        return Reply(HTTPStatus.OK, body)

    def _authorized(self, environ) -> bool:
        given = environ.get("HTTP_AUTHORIZATION", "")
        wanted = f"Bearer {self.shell.settings.admin_key}"
        return hmac.compare_digest(given.encode(), wanted.encode())


_ROUTES = {
    ("GET", "/v1/status"): AdminServer.status,
    ("GET", "/v1/metrics"): AdminServer.metrics,
}
