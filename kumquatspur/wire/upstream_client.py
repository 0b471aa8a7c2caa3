"""HTTP client of the searchers: one connection pool a searcher."""

import time

import pydantic
import urllib3

from kumquatspur.border import upstream_api
from kumquatspur.core import events
from kumquatspur.core.actions import CallUpstream
from kumquatspur.core.records import Searcher
from kumquatspur.core.verdict import Outcome, Phase
from kumquatspur.wire.send_guard import (
    DeadlinePassedError,
    GuardedConnection,
    SendGuard,
)

_JSON = {"Content-Type": "application/json"}

_TIMEOUTS = (urllib3.exceptions.ReadTimeoutError, DeadlinePassedError)

# Statuses whose body may say what became of each item.
_ITEM_STATUSES = (200, 503)


class UpstreamClient:
    """Sends requests to searchers over kept connections.

    Attributes:
        connect_s: Time-out of a new connection, in seconds.
    """

    def __init__(self, connect_s: float):
        self.connect_s = connect_s
        self._pools = {}

    def search(self, call: CallUpstream, guard: SendGuard | None = None):
        """Sends one search request and waits for its end.

        Nothing is sent after the deadline, also if the process was paused or
        the connection took long to open.

        Args:
            call: The request.
            guard: Tells others whether the request was sent.

        Returns:
            `UpstreamAnswered` or `UpstreamFailed`.
        """
        guard = guard or SendGuard(call.deadline)
        now = time.monotonic()
        if now >= call.deadline:
            return _failed(call, Phase.QUEUED, Outcome.TIMED_OUT)
        try:
            with guard.active():
                response = self._post(call, now)
        except _TIMEOUTS:
            return _failed(call, guard.phase(), Outcome.TIMED_OUT)
        except (urllib3.exceptions.HTTPError, OSError):
            return _failed(call, guard.phase(), Outcome.FAILED)
        return self._parse(call, response)

    def _post(self, call: CallUpstream, now: float):
        return self._pool(call.searcher).urlopen(
            "POST",
            "/v1/search",
            body=upstream_api.request_body(call.items, now),
            headers=_JSON,
            retries=False,
            timeout=self._timeout(call.deadline - now),
        )

    def probe(self, searcher: Searcher):
        """Asks a searcher for its status.

        Args:
            searcher: The searcher.

        Returns:
            `ProbeAnswered` or `ProbeFailed`.
        """
        try:
            response = self._pool(searcher).urlopen(
                "GET",
                "/v1/status",
                retries=False,
                timeout=urllib3.Timeout(connect=self.connect_s, read=1.0),
            )
            reply = upstream_api.StatusReply.model_validate_json(response.data)
        except (urllib3.exceptions.HTTPError, OSError, ValueError):
            return events.ProbeFailed(searcher.name)
        held = tuple(sorted(reply.held))
        return events.ProbeAnswered(
            searcher.name, held, reply.draining, reply.load
        )

    def _parse(self, call: CallUpstream, response):
        if response.status not in _ITEM_STATUSES:
            return _failed(call, Phase.SENT, Outcome.REJECTED)
        try:
            reply = upstream_api.SearchReply.model_validate_json(response.data)
        except pydantic.ValidationError:
            return _failed(call, Phase.SENT, Outcome.REJECTED)
        results = upstream_api.item_results(
            call.searcher.name, call.items, reply
        )
        return events.UpstreamAnswered(
            call.call_id,
            results,
            reply.load,
            reply.draining,
            tuple(sorted(reply.held)),
        )

    def _timeout(self, left: float) -> urllib3.Timeout:
        return urllib3.Timeout(
            connect=min(self.connect_s, left), read=left, total=left
        )

    def _pool(self, searcher: Searcher) -> urllib3.HTTPConnectionPool:
        key = (searcher.address, searcher.connections)
        pool = self._pools.get(searcher.name)
        if pool is None or pool.kumquatspur_key != key:
            pool = urllib3.HTTPConnectionPool(
                searcher.address.host,
                searcher.address.port,
                maxsize=min(searcher.slots + 1, searcher.connections),
            )
            pool.ConnectionCls = GuardedConnection
            pool.kumquatspur_key = key
            self._pools[searcher.name] = pool
        return pool


def _failed(call: CallUpstream, phase: Phase, outcome: Outcome):
    return events.UpstreamFailed(call.call_id, phase, outcome)
