"""HTTP API for callers."""

import logging
import math
import time
from http import HTTPStatus

import eventlet

from kumquatspur.border import caller_api
from kumquatspur.core import actions, events
from kumquatspur.core.reason import Reason
from kumquatspur.core.records import Diagnostic, Refusal
from kumquatspur.core.verdict import Verdict
from kumquatspur.wire.json_http import (
    CLOSE_KEY,
    Reply,
    error_reply,
    read_body,
    send,
)

_log = logging.getLogger(__name__)

ANSWER_GRACE_S = 1.0
# Longest wait for reports of the searchers after the start.
MAX_WARM_UP_S = 5.0
DEFAULT_DEADLINE_MS = 140

_REFUSAL_STATUS = {
    Reason.UNKNOWN_SERVICE: HTTPStatus.NOT_FOUND,
    Reason.UNKNOWN_SHARD: HTTPStatus.BAD_REQUEST,
    Reason.TIMED_OUT: HTTPStatus.GATEWAY_TIMEOUT,
    Reason.ALREADY_CLAIMED: HTTPStatus.CONFLICT,
}


class CallerServer:
    """The callers' WSGI application.

    Attributes:
        shell: The I/O layer that runs the node.
        waiters: Events that requests in flight wait for, by request
            identifier.
        last_query_at: When the last query arrived.
        started_at: When this server was created.
        warm_since: When this host was first ready: it had reports of all
            searchers, or had waited for MAX_WARM_UP_S. None before.
    """

    def __init__(self, shell):
        self.shell = shell
        self.waiters = {}
        self.last_query_at = float("-inf")
        self.started_at = time.monotonic()
        self.warm_since = None

    def __call__(self, environ, start_response):
        """Serves one request."""
        method, path = environ["REQUEST_METHOD"], environ["PATH_INFO"]
        handler = _ROUTES.get((method, path))
        if handler is None:
            reply = _unknown_route(environ)
        else:
            reply = handler(self, environ)
        body = send(reply, start_response)
        return [] if method == "HEAD" else body

    def query(self, environ) -> Reply:
        """Answers a query."""
        started_at = time.monotonic()
        self.last_query_at = started_at
        settings = self.shell.settings
        body, error = read_body(environ, settings.max_body_bytes)
        if error is not None:
            return error
        model, errors = caller_api.parse_query(
            body, settings.timing.max_deadline_ms
        )
        if errors:
            return error_reply(HTTPStatus.BAD_REQUEST, "bad_request", errors)
        query = caller_api.build_query(
            model,
            self.shell.node.state.new_id(),
            started_at,
            self._default_deadline_ms(model.service),
        )
        action = self._run(query)
        self._record(query, action, time.monotonic() - started_at)
        if isinstance(action, actions.AnswerCaller):
            body = caller_api.answer_body(action.answer)
            return Reply(HTTPStatus.OK, body)
        return _refusal_reply(action.refusal)

    def health(self, environ) -> Reply:
        """Answers the health check of the platform's load balancer."""
        state = self.shell.node.state
        ready = self._is_warm() and not state.stopping
        status = HTTPStatus.OK if ready else HTTPStatus.SERVICE_UNAVAILABLE
        return Reply(status, {"ready": ready, "leaving": state.stopping})

    def finish(self, request_id: str, action) -> None:
        """Passes the final action to the request that waits for it."""
        waiter = self.waiters.pop(request_id, None)
        if waiter is not None:
            waiter.send(action)

    def _is_warm(self) -> bool:
        """Returns whether this host is ready for queries after its start.

        A host that has just started waits for reports of the searchers, but
        no longer than MAX_WARM_UP_S, because a zone may be unreachable.
        """
        if self.warm_since is None:
            state = self.shell.node.state
            if not state.configuration.revision:
                return False
            wait_is_over = time.monotonic() - self.started_at >= MAX_WARM_UP_S
            if not wait_is_over and _shards_without_report(state):
                return False
            self.warm_since = time.monotonic()
        return True

    def _run(self, query):
        waiter = eventlet.event.Event()
        self.waiters[query.request_id] = waiter
        self.shell.deliver(events.QueryReceived(query))
        longest = query.deadline - time.monotonic() + ANSWER_GRACE_S
        with eventlet.Timeout(longest, False):
            return waiter.wait()
        self.waiters.pop(query.request_id, None)
        refusal = Refusal(
            query.request_id,
            Reason.TIMED_OUT,
            Verdict.MAY_HAVE_RUN,
            1.0,
            "no answer by the deadline",
        )
        return actions.RefuseCaller(refusal)

    def _default_deadline_ms(self, name: str) -> int:
        service = self.shell.node.state.configuration.services.get(name)
        return service.profile.deadline_ms if service else DEFAULT_DEADLINE_MS

    def _record(self, query, action, seconds: float) -> None:
        state = self.shell.node.state
        service = state.configuration.services.get(query.service)
        if service is not None:
            self.shell.metrics.record_query(
                service, action, seconds, self.shell.now()
            )
        fields = {
            "request_id": query.request_id,
            "service": query.service,
            "revision": state.configuration.revision,
            "duration_ms": round(seconds * 1000.0, 3),
        }
        if isinstance(action, actions.RefuseCaller):
            fields["verdict"] = str(action.refusal.verdict)
            fields["reason"] = str(action.refusal.reason)
            _log.info("query refused", extra=fields)
            return
        fields["verdict"] = str(action.answer.verdict)
        fields["missing"] = len(action.answer.missing)
        _log.info("query answered", extra=fields)


def _shards_without_report(state) -> bool:
    searchers = state.configuration.searchers.values()
    held = {
        shard
        for searcher in searchers
        if searcher.name in state.reports
        and state.reports[searcher.name].report.held
        for shard in searcher.shards
    }
    return any(not held.issuperset(s.shards) for s in searchers)


def _unknown_route(environ) -> Reply:
    environ[CLOSE_KEY]()
    allowed = [m for m, path in _ROUTES if path == environ["PATH_INFO"]]
    if allowed:
        errors = [Diagnostic(environ["REQUEST_METHOD"], "is not allowed")]
        headers = (("Allow", ", ".join(allowed)),)
        return error_reply(
            HTTPStatus.METHOD_NOT_ALLOWED, "bad_request", errors, headers
        )
    errors = [Diagnostic(environ["PATH_INFO"], "no such resource")]
    return error_reply(HTTPStatus.NOT_FOUND, "not_found", errors)


def _refusal_reply(refusal: Refusal) -> Reply:
    status = _REFUSAL_STATUS.get(refusal.reason, HTTPStatus.SERVICE_UNAVAILABLE)
    seconds = max(1, math.ceil(refusal.retry_after_s))
    headers = (("Retry-After", str(seconds)),)
    return Reply(status, caller_api.refusal_body(refusal), headers)


_ROUTES = {
    ("POST", "/v1/query"): CallerServer.query,
    ("GET", "/v1/health"): CallerServer.health,
    ("HEAD", "/v1/health"): CallerServer.health,
}
