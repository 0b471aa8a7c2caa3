"""Answers client requests: forwards, scatters, delegates or rejects them."""

import dataclasses

from kumquatspur.core.reason import Reason
from kumquatspur.core.routing import ClientReply, ClientRequest, Route
from kumquatspur.policy.route_table import RouteTable
from kumquatspur.wire.crash_detector import CrashDetector
from kumquatspur.wire.delegator import (
    Delegator,
    declined_reply,
    decode_delegated_request,
    reply_with_keep_alive,
)
from kumquatspur.wire.entry_state import EntryState
from kumquatspur.wire.error_replies import NOT_RUN_STATUSES, error_reply
from kumquatspur.wire.key_check import check_key
from kumquatspur.wire.quota_exchange import QuotaExchange
from kumquatspur.wire.request_run import RequestRun
from kumquatspur.wire.searcher_pool import TargetPool, monotonic_s

RETRY_AFTER_RANGE_S = (0.05, 0.2)
# Refusals of unknown keys beyond this are only counted. A client with a wrong
# key would otherwise use up the log's lines, of which there are 150 a second.
MAX_UNKNOWN_KEYS_LOGGED_PER_S = 20


class Forwarder:
    """Forwards or scatters client requests to searchers.

    Attributes:
        state: The state of this host.
        pool: Connections to searchers.
        crash_detector: Detects requests that crash searchers.
        delegator: Delegates requests to other hosts and accepts theirs.
        quota: Admits requests by the quota of their account.
    """

    def __init__(
        self,
        state: EntryState,
        pool: TargetPool,
        crash_detector: CrashDetector,
        delegator: Delegator,
        quota: QuotaExchange,
    ):
        self.state = state
        self.pool = pool
        self.crash_detector = crash_detector
        self.delegator = delegator
        self._unknown_keys_logged = (0, 0)
        self.quota = quota

    def serve(self, request: ClientRequest) -> ClientReply:
        """Returns the answer to a request.

        The calling green thread may be killed if the client disconnects.

        Args:
            request: The request.
        """
        table = self.state.table
        if not self.state.is_configured():
            return self.refuse(request, None, 503, Reason.NO_CONFIGURATION)
        route = table.find(request.host, request.path)
        if route is None:
            return self.refuse(request, None, 404, Reason.UNKNOWN_SERVICE)
        checked = check_key(table, request, route)
        if checked is None:
            return self.refuse(request, route, 401, Reason.UNKNOWN_KEY)
        request = checked
        if self.crash_detector.is_refused(request, route.name):
            return self.refuse(request, route, 503, Reason.CRASHES_UPSTREAMS)
        account = request.account
        admission = self.quota.admit(account)
        if not admission.admitted:
            # Clients return spread over as long as they wait, since all are
            # told the same time.
            spread_s = max(1.0, admission.wait_s) * self.state.random.random()
            wait_s = admission.wait_s + spread_s
            return self.refuse(request, route, 429, Reason.OVER_QUOTA, wait_s)
        reply = self._serve_admitted(request, route, table)
        if reply.status in NOT_RUN_STATUSES:
            self.quota.refund(account)
        return reply

    def _serve_admitted(
        self, request: ClientRequest, route: Route, table: RouteTable
    ) -> ClientReply:
        """Returns the answer to a request that its account's quota admits.

        Args:
            request: The request.
            route: Its route.
            table: Routes and keys with which its key was checked. A newer one
                may be in force since, as the quota's admission may wait.
        """
        request = self._with_lead(request, route)
        shards = route.shards
        if shards:
            left_s = self.state.answer_by - monotonic_s()
            # A host that stops is about to answer all requests in flight.
            if left_s > route.target_latency_s:
                reply = self.delegator.try_delegate(request, route)
                if reply is not None:
                    return reply
        else:
            # A forwarded request is handled as one shard, its service.
            shards = (table.choose_service(route, self.state.random.random()),)
        return RequestRun(self, request, route, shards, True, table).run()

    def _with_lead(self, request: ClientRequest, route: Route) -> ClientRequest:
        """Returns the request with the time that passes outside of the hosts.

        A host that scatters for others learns it from their clients too, so
        that it is known sooner than by a host with few clients.
        """
        lead_s = self.state.client_timing.lead_s(
            route.name,
            request.time_left_s,
            request.is_first,
            request.received_at,
        )
        if request.lead_s is not None:
            return request
        return dataclasses.replace(request, lead_s=lead_s)

    def serve_delegated(self, request: ClientRequest) -> ClientReply:
        """Returns the answer to a request that another host delegated.

        Args:
            request: The request, as received from the other host.
        """
        delegated = decode_delegated_request(request)
        request = delegated.request
        table = self.state.table
        route = table and table.find(request.host, request.path)
        reason = self.delegator.decline_reason(delegated, route)
        checked = None
        if not reason:
            checked = check_key(table, request, route)
            reason = delegated.account_mismatch(checked)
        if reason:
            self.state.counters["handed_over_declined"] += 1
            return declined_reply(reason)
        if checked is None:
            return self.refuse(request, route, 401, Reason.UNKNOWN_KEY)
        request = checked
        idle_s = table.config.limits.idle_timeout_s
        if self.crash_detector.is_refused(request, route.name):
            return self.refuse(request, route, 503, Reason.CRASHES_UPSTREAMS)
        request = self._with_lead(request, route)
        shards = route.shards
        if not shards:
            services = delegated.services(route)
            number = self.state.random.random()
            shards = (
                services
                if len(services) == 1
                else (table.choose_service(route, number),)
            )
        route = delegated.limit_attempts(route)
        run = RequestRun(
            self, request, route, shards, False, table, delegated.sent_before
        )
        return reply_with_keep_alive(run.run(), idle_s)

    def refuse(
        self,
        request: ClientRequest,
        route: Route | None,
        status: int,
        reason: Reason,
        wait_s: float = 0.0,
    ) -> ClientReply:
        """Returns the answer to a request that was sent to no searcher.

        Args:
            request: The request.
            route: Its route; None if there is none.
            status: HTTP status.
            reason: Reason of the refusal.
            wait_s: Time until the request can be served, in seconds; 0 if it is
                not known.
        """
        retry_after_s = self.retry_after_s(wait_s)
        self.state.counters[f"refused_{reason}"] += 1
        if reason is Reason.UNKNOWN_KEY and not self._may_log_unknown_key():
            self.state.log.dropped += 1
            return error_reply(status, reason)
        self.state.log.write(
            "refused",
            request_id=request.request_id,
            account=request.account_name(),
            route=route.name if route else None,
            path=request.path,
            config=self.state.table and self.state.table.config.version,
            status=status,
            reason=reason,
            evacuated_zones=sorted(self.state.evacuations.active),
            silent_zones=self.state.zone_health.suspected_zones(monotonic_s()),
            retry_after_s=round(retry_after_s, 3),
        )
        return error_reply(status, reason, retry_after_s)

    def _may_log_unknown_key(self) -> bool:
        second, count = self._unknown_keys_logged
        current = int(monotonic_s())
        count = count + 1 if second == current else 1
        self._unknown_keys_logged = (current, count)
        return count <= MAX_UNKNOWN_KEYS_LOGGED_PER_S

    def retry_after_s(self, wait_s: float = 0.0) -> float:
        """Returns when a refused client should retry.

        A random delay spreads the retries.

        Args:
            wait_s: Time until the request can be served, in seconds; 0 if it is
                not known.
        """
        return wait_s + self.state.random.uniform(*RETRY_AFTER_RANGE_S)
