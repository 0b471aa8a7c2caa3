"""HTTP server for operators, on its own port and with its own key."""

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
        body = self.shell.metrics.export()
        counters = self.shell.node.board.counters
        body["decisions"] = dict(sorted(counters.items()))
        services = self.shell.node.board.configuration.services
        body["objectives"] = {
            name: {
                "latency_ms": service.objectives.latency_ms,
                "latency_target": service.objectives.latency_target,
                "coverage_target": service.objectives.coverage_target,
                "availability_target": service.objectives.availability_target,
            }
            for name, service in services.items()
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
