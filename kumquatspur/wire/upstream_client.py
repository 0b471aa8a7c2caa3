"""HTTP client of the searchers, with one connection pool for each."""

import collections
import dataclasses
import http.client
import logging
import time

import eventlet
import urllib3

from kumquatspur.border import upstream_api
from kumquatspur.core import events
from kumquatspur.core.actions import CallUpstream
from kumquatspur.core.records import Searcher, ShardResult
from kumquatspur.core.verdict import Outcome, Phase, Verdict
from kumquatspur.wire.upstream_pool import HttpExchange, UpstreamPool

_log = logging.getLogger(__name__)

PROBE_TIMEOUT_S = 1.0
VERIFY_TIMEOUT_S = 0.25
VERIFY_POLL_INTERVAL_S = 0.002

_FAILURES = (
    urllib3.exceptions.HTTPError,
    http.client.HTTPException,
    OSError,
    ValueError,
)
_TIMEOUTS = (urllib3.exceptions.TimeoutError, TimeoutError)

# Statuses whose body may contain a result for each item.
_ITEM_STATUSES = (200, 503)


class UpstreamClient:
    """Sends requests to searchers over persistent connections.

    Attributes:
        connect_s: Timeout of a new connection, in seconds.
        exchanges: The calls in flight, by call id.
        counters: Counts of connection events by name.
    """

    def __init__(self, connect_s: float):
        self.connect_s = connect_s
        self.exchanges = {}
        self.counters = collections.Counter()
        self._pools = {}

    def search(self, call: CallUpstream):
        """Sends one search request and waits for its result.

        Args:
            call: The request.

        Returns:
            `UpstreamAnswered` or `UpstreamFailed`.
        """
        now = time.monotonic()
        if call.deadline <= now:
            return _failed(call, Phase.QUEUED, Outcome.TIMED_OUT)
        body = upstream_api.request_body(call.items, now)
        exchange = HttpExchange(
            "POST", "/v1/search", body, len(call.items), call.deadline
        )
        repeatable = all(item.repeatable for item in call.items)
        self.exchanges[call.call_id] = exchange
        try:
            status, data = self._exchange(call.searcher, exchange, repeatable)
        except _TIMEOUTS:
            return _failed(call, exchange.phase, Outcome.TIMED_OUT)
        except _FAILURES:
            return _failed(call, exchange.phase, Outcome.FAILED)
        finally:
            del self.exchanges[call.call_id]
        event = _parse(call, status, data)
        return _without_not_run(event) if exchange.resent else event

    def phase(self, call_id: str) -> Phase:
        """Returns the phase of a call in flight."""
        exchange = self.exchanges.get(call_id)
        return exchange.phase if exchange else Phase.QUEUED

    def probe(self, searcher: Searcher):
        """Requests the status of a searcher.

        Args:
            searcher: The searcher.

        Returns:
            `ProbeAnswered` or `ProbeFailed`.
        """
        exchange = _status_request(PROBE_TIMEOUT_S)
        try:
            _, data = self._exchange(searcher, exchange, True)
            reply = upstream_api.StatusReply.model_validate_json(data)
        except _FAILURES:
            return events.ProbeFailed(searcher.name)
        held = tuple(sorted(reply.held))
        return events.ProbeAnswered(
            searcher.name, held, reply.draining, reply.load
        )

    def close(self) -> None:
        """Closes all idle connections."""
        for pool in self._pools.values():
            pool.close_idle()
        self._pools.clear()

    def _exchange(self, searcher, exchange: HttpExchange, repeatable: bool):
        pool = self._pool(searcher)
        try:
            pool.start(exchange)
            if not self._wait(pool, exchange):
                self._replace_stalled(pool, exchange, repeatable)
            return pool.finish(exchange)
        finally:
            pool.discard(exchange)

    def _wait(self, pool: UpstreamPool, exchange: HttpExchange) -> bool:
        """Waits for an answer; False if the connection may be stalled."""
        remaining_s = exchange.time_left_s()
        if not exchange.connection.reused:
            # A new connection is never treated as stalled.
            return pool.wait(exchange, remaining_s) or True
        wait_s = pool.health.stall_timeout_s(exchange.item_count, remaining_s)
        while wait_s > 0.0:
            if pool.wait(exchange, wait_s):
                return True
            wait_s = pool.health.verify_wait_s(
                exchange.sent_at, exchange.item_count, time.monotonic()
            )
            wait_s = min(wait_s, exchange.time_left_s())
        return False

    def _replace_stalled(self, pool, exchange: HttpExchange, repeatable: bool):
        """Retires the old connections if a new one works.

        A repeatable request is sent again on another connection.
        """
        self.counters["upstream_overdue"] += 1
        verifier = eventlet.spawn(self._verify_searcher, pool, exchange)
        while not verifier.dead:
            if pool.wait(exchange, VERIFY_POLL_INTERVAL_S):
                verifier.kill()
                return
        if verifier.wait() and exchange.connection.is_open_without_input():
            self._retire(pool, exchange)
            if repeatable:
                pool.discard(exchange)
                exchange.resent = True
                self.counters["upstream_resent"] += 1
                pool.start(exchange)
        pool.wait(exchange, exchange.time_left_s())

    def _retire(self, pool: UpstreamPool, exchange: HttpExchange) -> None:
        now = time.monotonic()
        # Counts the time waited as a latency, so that the stall timeout grows
        # if the searcher is only slow.
        pool.health.on_answer(exchange.sent_at, exchange.item_count, False, now)
        if pool.retire(exchange):
            self.counters["upstream_retired"] += 1
            fields = {"searcher": pool.searcher.name}
            _log.warning("silent connections retired", extra=fields)

    def _verify_searcher(
        self, pool: UpstreamPool, exchange: HttpExchange
    ) -> bool:
        """Returns whether the searcher answers on a new connection."""
        probe = _status_request(
            min(VERIFY_TIMEOUT_S, exchange.time_left_s() / 2.0)
        )
        try:
            pool.start(probe, fresh=True)
            pool.finish(probe)
        except _FAILURES:
            return False
        finally:
            pool.discard(probe)
        return True

    def _pool(self, searcher: Searcher) -> UpstreamPool:
        pool = self._pools.get(searcher.name)
        if pool is None or pool.searcher != searcher:
            if pool is not None:
                pool.close_idle()
            pool = UpstreamPool(searcher, self.connect_s)
            self._pools[searcher.name] = pool
        return pool


def _status_request(seconds: float) -> HttpExchange:
    return HttpExchange(
        "GET", "/v1/status", None, 0, time.monotonic() + seconds
    )


def _failed(call: CallUpstream, phase: Phase, outcome: Outcome):
    return events.UpstreamFailed(call.call_id, phase, outcome)


def _without_not_run(event):
    """Replaces NOT_RUN verdicts after a resend.

    The searcher may have run the work when it was sent first.
    """
    if not isinstance(event, events.UpstreamAnswered):
        return event
    results = tuple(
        dataclasses.replace(entry, result=_may_have_run(entry.result))
        for entry in event.results
    )
    return dataclasses.replace(event, results=results)


def _may_have_run(result: ShardResult) -> ShardResult:
    if result.verdict is not Verdict.NOT_RUN:
        return result
    return dataclasses.replace(result, verdict=Verdict.MAY_HAVE_RUN)


def _parse(call: CallUpstream, status: int, data: bytes):
    if status not in _ITEM_STATUSES:
        return _failed(call, Phase.SENT, Outcome.REJECTED)
    reply = upstream_api.parse_reply(data)
    if reply is None:
        return _failed(call, Phase.SENT, Outcome.REJECTED)
    return events.UpstreamAnswered(
        call.call_id,
        upstream_api.item_results(call.searcher.name, call.items, reply),
        reply.load,
        reply.draining,
        tuple(sorted(reply.held)),
    )
