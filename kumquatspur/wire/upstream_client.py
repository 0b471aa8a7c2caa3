"""HTTP client of the searchers: one connection pool a searcher."""

import time

import pydantic
import urllib3

from kumquatspur.border import upstream_api
from kumquatspur.core import events
from kumquatspur.core.actions import CallUpstream
from kumquatspur.core.records import Searcher
from kumquatspur.core.verdict import Outcome, Phase

_JSON = {"Content-Type": "application/json"}


class UpstreamClient:
    """Sends requests to searchers over kept connections.

    Attributes:
        connect_s: Time-out of a new connection, in seconds.
    """

    def __init__(self, connect_s: float):
        self.connect_s = connect_s
        self._pools = {}

    def search(self, call: CallUpstream):
        """Sends one search request and waits for its end.

        Args:
            call: The request.

        Returns:
            `UpstreamAnswered` or `UpstreamFailed`.
        """
        now = time.monotonic()
        left = call.deadline - now
        if left <= 0:
            return events.UpstreamFailed(
                call.call_id, Phase.QUEUED, Outcome.TIMED_OUT
            )
        body = upstream_api.request_body(call.items, now)
        try:
            response = self._pool(call.searcher).urlopen(
                "POST",
                "/v1/search",
                body=body,
                headers=_JSON,
                retries=False,
                timeout=self._timeout(left),
            )
        # These two come before any byte was handed to the kernel.
        except urllib3.exceptions.NewConnectionError:
            return events.UpstreamFailed(
                call.call_id, Phase.CONNECTING, Outcome.FAILED
            )
        except urllib3.exceptions.ConnectTimeoutError:
            return events.UpstreamFailed(
                call.call_id, Phase.CONNECTING, Outcome.TIMED_OUT
            )
        except urllib3.exceptions.TimeoutError:
            return events.UpstreamFailed(
                call.call_id, Phase.SENT, Outcome.TIMED_OUT
            )
        except (urllib3.exceptions.HTTPError, OSError):
            return events.UpstreamFailed(
                call.call_id, Phase.SENT, Outcome.FAILED
            )
        return self._parse(call, response)

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
        if response.status != 200:
            return events.UpstreamFailed(
                call.call_id, Phase.SENT, Outcome.FAILED
            )
        try:
            reply = upstream_api.SearchReply.model_validate_json(response.data)
        except pydantic.ValidationError:
            return events.UpstreamFailed(
                call.call_id, Phase.SENT, Outcome.FAILED
            )
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
            pool.kumquatspur_key = key
            self._pools[searcher.name] = pool
        return pool
