"""HTTP API for operators, on a separate port and with separate keys."""

import dataclasses
from http import HTTPStatus

from kumquatspur.core.records import Diagnostic
from kumquatspur.policy.burn import burn_rows
from kumquatspur.policy.tenancy import Operator, identify
from kumquatspur.wire.admin_config import FILES_PATH, AdminConfig
from kumquatspur.wire.config_store import ConfigStore
from kumquatspur.wire.json_http import Reply, error_reply, send
from kumquatspur.wire.store_client import StoreClient


class AdminServer:
    """The operators' WSGI application.

    Attributes:
        shell: The I/O layer that runs the node.
        config: Handlers of the configuration resources.
    """

    def __init__(self, shell):
        self.shell = shell
        client = StoreClient(shell.settings.store.address())
        self.config = AdminConfig(ConfigStore(client, shell.settings.prefix))

    def __call__(self, environ, start_response):
        """Serves one request."""
        return send(self._reply(environ), start_response)

    def status(self, environ, operator: Operator) -> Reply:
        """Returns the status of this node and its view of the other members."""
        state = self.shell.node.state
        now = self.shell.now()
        members = [
            {
                "name": member.name,
                "zone": member.zone,
                "alive": state.is_live(member, now),
                "leaving": member.leaving,
                "revision": member.revision,
            }
            for member in state.members.values()
        ]
        body = {
            "name": state.settings.name,
            "zone": state.settings.zone,
            "revision": state.configuration.revision,
            "stopping": state.stopping,
            "owned": sorted(state.queues),
            "in_flight": len(state.queries),
            "members": sorted(members, key=lambda entry: entry["name"]),
        }
        return Reply(HTTPStatus.OK, body)

    def metrics(self, environ, operator: Operator) -> Reply:
        """Returns all metrics of this node."""
        state = self.shell.node.state
        body = self.shell.metrics.export(self.shell.now())
        body["name"] = state.settings.name
        body["decisions"] = dict(sorted(state.counters.items()))
        body["wire"] = dict(sorted(self.shell.wire_counters().items()))
        body["objectives"] = {
            name: dataclasses.asdict(service.objectives)
            for name, service in state.configuration.services.items()
        }
        return Reply(HTTPStatus.OK, body)

    def burn(self, environ, operator: Operator) -> Reply:
        """Returns the error-budget burn rates of the services on this node."""
        state = self.shell.node.state
        objectives = {
            name: service.objectives
            for name, service in state.configuration.services.items()
        }
        windows = self.shell.metrics.windows.totals(self.shell.now())
        rows = burn_rows(windows, objectives)
        body = {
            "name": state.settings.name,
            "rows": [dataclasses.asdict(row) for row in rows],
        }
        return Reply(HTTPStatus.OK, body)

    def _reply(self, environ) -> Reply:
        operator = self._identify(environ)
        if operator is None:
            errors = [Diagnostic("Authorization", "the key is wrong")]
            return error_reply(HTTPStatus.UNAUTHORIZED, "unauthorized", errors)
        path = environ["PATH_INFO"]
        if path.startswith(FILES_PATH):
            path = FILES_PATH
        handler = self._routes().get((environ["REQUEST_METHOD"], path))
        if handler is None:
            errors = [Diagnostic(environ["PATH_INFO"], "no such resource")]
            return error_reply(HTTPStatus.NOT_FOUND, "not_found", errors)
        return handler(environ, operator)

    def _routes(self):
        return {
            ("GET", "/v1/status"): self.status,
            ("GET", "/v1/metrics"): self.metrics,
            ("GET", "/v1/burn"): self.burn,
            ("GET", "/v1/config"): self.config.list_files,
            ("GET", FILES_PATH): self.config.read_file,
            ("PUT", FILES_PATH): self.config.write_file,
            ("DELETE", FILES_PATH): self.config.remove_file,
        }

    def _identify(self, environ) -> Operator | None:
        given = environ.get("HTTP_AUTHORIZATION", "")
        return identify(
            given.removeprefix("Bearer "),
            self.shell.settings.admin_key,
            self.shell.node.state.configuration.teams,
        )
