"""Delegates scattered requests to entry hosts with more capacity."""

import dataclasses
import math
from collections.abc import Iterator

import eventlet

from kumquatspur.core.records import Address
from kumquatspur.core.routing import (
    ClientReply,
    ClientRequest,
    HostCapacity,
    Route,
)
from kumquatspur.policy.delegation import (
    HOP_S,
    RESPONSE_TIMEOUT_MULTIPLE,
    Candidate,
    Delegate,
    choose_delegate,
    has_capacity,
)
from kumquatspur.wire.entry_state import EntryState
from kumquatspur.wire.http_messages import RawMessage, encode_request
from kumquatspur.wire.searcher_pool import CallError, TargetPool, monotonic_s

# Headers used between entry hosts only.
CONFIG_VERSION_HEADER = b"x-kumquatspur-config"
AGE_HEADER = b"x-kumquatspur-age-us"
TIME_LEFT_HEADER = b"x-kumquatspur-time-left-us"
LEAD_HEADER = b"x-kumquatspur-lead-us"
FIRST_HEADER = b"x-kumquatspur-first"
DECLINED_HEADER = b"x-kumquatspur-declined"
_DELEGATION_HEADERS = frozenset(
    {
        CONFIG_VERSION_HEADER,
        AGE_HEADER,
        TIME_LEFT_HEADER,
        LEAD_HEADER,
        FIRST_HEADER,
    }
)
DECLINED_STATUS = 421
# Time after the deadline in which the other host's answer may still arrive.
REPLY_GRACE_S = 0.02


class Delegator:
    """Delegates requests to other hosts, and accepts theirs.

    Attributes:
        state: The state of this host.
        pool: Connections to other entry hosts.
    """

    def __init__(self, state: EntryState):
        self.state = state
        self.pool = TargetPool(state.settings.machine.memory_mb)

    def try_delegate(
        self, request: ClientRequest, route: Route
    ) -> ClientReply | None:
        """Delegates a request to another host if that is expected to be faster.

        Args:
            request: The request.
            route: Its route, with shards.

        Returns:
            The answer; None if this host has to scatter the request itself.
        """
        now = monotonic_s()
        state = self.state
        own = state.settings.machine.capacity()
        chosen = choose_delegate(
            own,
            self._candidates(own),
            len(route.shards),
            route.target_latency_s,
            now,
            state.random.random,
        )
        if chosen is None:
            return None
        client_wait_s = min(request.time_left_s or math.inf, route.timeout_s)
        deadline = request.received_at + client_wait_s + REPLY_GRACE_S
        delegate, key = chosen.delegate, id(request)
        delegate.in_flight[key] = now
        try:
            message = self._call(chosen, request, route, deadline)
        except CallError as error:
            delegate.record_failure(error.unresponsive, monotonic_s())
            if error.unresponsive:
                state.zone_health.record_unresponsive(
                    chosen.zone, chosen.name, monotonic_s()
                )
            self._log(request, route, chosen, str(error), lost=error.sent)
            if not error.sent:
                return None
            status = 504 if monotonic_s() >= deadline - REPLY_GRACE_S else 502
            return ClientReply(status, (), b"lost at another host\n")
        finally:
            delegate.in_flight.pop(key, None)
        reason = message.header(DECLINED_HEADER)
        if reason is not None:
            delegate.record_declined(monotonic_s())
            self._log(request, route, chosen, f"declined: {reason.decode()}")
            return None
        delegate.record_response(monotonic_s())
        self._log(request, route, chosen, message.status)
        return ClientReply(
            message.status, message.end_to_end_headers(), message.body()
        )

    def _call(self, chosen, request, route, deadline) -> RawMessage:
        now = monotonic_s()
        version = self.state.table.config.version
        data = encode_request(
            request, delegation_headers(request, version, now)
        )
        bodyless = request.method == "HEAD"

        def call():
            try:
                return self.pool.call(
                    chosen.name,
                    chosen.address,
                    data,
                    lambda message: True,
                    deadline,
                    bodyless,
                )
            except CallError as error:
                return error

        thread = eventlet.spawn(call)
        result = None
        try:
            response_timeout_s = (
                RESPONSE_TIMEOUT_MULTIPLE * route.target_latency_s
            )
            with eventlet.Timeout(response_timeout_s, False):
                result = thread.wait()
            if result is None and chosen.delegate.is_unresponsive(now):
                raise CallError("no response from the host", unresponsive=True)
            result = result or thread.wait()
        finally:
            # Also when the calling green thread is killed.
            thread.kill()
        if isinstance(result, CallError):
            raise result
        return result

    def decline_reason(self, version: str, route: Route | None) -> str:
        """Returns the reason to decline a delegated request; "" to accept it.

        Args:
            version: Version of the other host's configuration.
            route: The request's route on this host.
        """
        state = self.state
        if state.stopping:
            return "stopping"
        if state.table is None or version != str(state.table.config.version):
            return "configuration"
        if route is None or not route.shards:
            return "route"
        shards_in_flight = state.scattered_shards + len(route.shards)
        capacity = state.settings.machine.capacity()
        if not has_capacity(shards_in_flight, capacity, route.target_latency_s):
            return "busy"
        return ""

    def prune(self, now: float) -> None:
        """Closes connections that idled too long or whose host was removed."""
        peers = self.state.peers.peers
        self.pool.prune(now, peers)
        delegates = self.state.delegates
        removed = [
            name
            for name, delegate in delegates.items()
            if name not in peers and not delegate.in_flight
        ]
        for name in removed:
            del delegates[name]

    def _candidates(self, own: HostCapacity) -> Iterator[Candidate]:
        own_zone = self.state.settings.zone
        delegates = self.state.delegates
        suspected = self.state.zone_health.suspected_zones(monotonic_s())
        for peer in self.state.peers.peers.values():
            # A host with the same capacity is never faster, and in most fleets
            # all hosts have the same.
            if peer.relay_port and peer.capacity != own:
                yield Candidate(
                    peer.name,
                    Address(peer.address.host, peer.relay_port),
                    peer.capacity,
                    peer.zone == own_zone,
                    peer.last_received_at,
                    delegates.setdefault(peer.name, Delegate()),
                    peer.zone in suspected,
                    peer.zone,
                )

    def _log(self, request, route, chosen, outcome, lost=False) -> None:
        self.state.counters["handed_over"] += 1
        self.state.log.write(
            "handed_over",
            request_id=request.request_id,
            route=route.name,
            config=self.state.table.config.version,
            to=chosen.name,
            heard_s=round(monotonic_s() - chosen.last_received_at, 3),
            outcome=outcome,
            lost=lost,
            ms=round((monotonic_s() - request.received_at) * 1000, 1),
        )


def delegation_headers(
    request: ClientRequest, version: int, now: float
) -> bytes:
    """Returns the header lines to add to a delegated request.

    Args:
        request: The request.
        version: Version of the configuration that routed it.
        now: The current time of the monotonic clock, in seconds.
    """
    # HOP_S allows for the time that the reply takes.
    age_us = int((now - request.received_at + HOP_S) * 1e6)
    lines = b"%b: %d\r\n%b: %d\r\n" % (
        CONFIG_VERSION_HEADER,
        version,
        AGE_HEADER,
        age_us,
    )
    if request.time_left_s is not None:
        left_us = int(request.time_left_s * 1e6)
        lines += b"%b: %d\r\n" % (TIME_LEFT_HEADER, left_us)
    if request.is_first:
        lines += b"%b: 1\r\n" % FIRST_HEADER
    if request.lead_s is not None:
        lead_us = int(request.lead_s * 1e6)
        lines += b"%b: %d\r\n" % (LEAD_HEADER, lead_us)
    return lines


def decode_delegated_request(
    request: ClientRequest,
) -> tuple[ClientRequest, str]:
    """Restores the client's request from a delegated request.

    Args:
        request: The request as received from the other host.

    Returns:
        The request, and the version of the other host's configuration.
    """
    found = dict(request.headers)
    left_us = found.get(TIME_LEFT_HEADER, b"")
    lead_us = found.get(LEAD_HEADER, b"")
    client_request = dataclasses.replace(
        request,
        headers=tuple(
            h for h in request.headers if h[0] not in _DELEGATION_HEADERS
        ),
        time_left_s=int(left_us) / 1e6 if left_us.isdigit() else None,
        is_first=FIRST_HEADER in found,
        lead_s=int(lead_us) / 1e6 if lead_us.isdigit() else None,
        received_at=request.received_at
        - int(found.get(AGE_HEADER, b"0")) / 1e6,
    )
    return client_request, found.get(CONFIG_VERSION_HEADER, b"").decode(
        "latin-1"
    )


def declined_reply(reason: str) -> ClientReply:
    """Returns the reply that declines a delegated request."""
    return ClientReply(DECLINED_STATUS, ((DECLINED_HEADER, reason.encode()),))


def reply_with_keep_alive(reply: ClientReply, idle_s: float) -> ClientReply:
    """Returns a reply with a Keep-Alive header for the idle timeout."""
    field = (b"Keep-Alive", b"timeout=%d" % idle_s)
    return ClientReply(reply.status, (*reply.headers, field), reply.body)
