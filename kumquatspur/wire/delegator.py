"""Delegates requests to other entry hosts, and accepts theirs.

Scattered requests go to hosts with more capacity. All requests go to hosts that
reach searchers while this one reaches none.
"""

import dataclasses
import math
from collections.abc import Callable, Iterator
from urllib.parse import quote, unquote

import eventlet

from kumquatspur.core.records import Address
from kumquatspur.core.routing import (
    ClientReply,
    ClientRequest,
    Route,
)
from kumquatspur.policy.delegation import (
    HOP_S,
    RESPONSE_TIMEOUT_MULTIPLE,
    Candidate,
    Delegate,
    choose_delegate,
    has_capacity,
    rank_reroutes,
)
from kumquatspur.policy.peer_table import Peer
from kumquatspur.policy.request_plan import SentBefore
from kumquatspur.wire.entry_state import EntryState
from kumquatspur.wire.http_messages import RawMessage, encode_request
from kumquatspur.wire.searcher_pool import (
    NON_REPEATABLE_MAX_IDLE_S,
    CallError,
    TargetPool,
    monotonic_s,
)

# Headers used between entry hosts only.
CONFIG_VERSION_HEADER = b"x-kumquatspur-config"
AGE_HEADER = b"x-kumquatspur-age-us"
TIME_LEFT_HEADER = b"x-kumquatspur-time-left-us"
LEAD_HEADER = b"x-kumquatspur-lead-us"
FIRST_HEADER = b"x-kumquatspur-first"
# Service that was chosen for a forwarded request.
SERVICE_HEADER = b"x-kumquatspur-service"
# Marks a rerouted request; attempts that may be made for each shard.
REROUTED_HEADER = b"x-kumquatspur-rerouted"
# What the other host has done with a rerouted request, a `SentBefore`.
SENT_BEFORE_HEADER = b"x-kumquatspur-sent-before"
# Name of the client account, percent-encoded, and hexadecimal SHA-256 digest of
# the key, by which the receiving host checks that the key is still valid.
ACCOUNT_HEADER = b"x-kumquatspur-account"
KEY_DIGEST_HEADER = b"x-kumquatspur-key-digest"
DECLINED_HEADER = b"x-kumquatspur-declined"
_DELEGATION_HEADERS = frozenset(
    {
        CONFIG_VERSION_HEADER,
        AGE_HEADER,
        TIME_LEFT_HEADER,
        LEAD_HEADER,
        FIRST_HEADER,
        SERVICE_HEADER,
        REROUTED_HEADER,
        SENT_BEFORE_HEADER,
        ACCOUNT_HEADER,
        KEY_DIGEST_HEADER,
    }
)
DECLINED_STATUS = 421
UNKNOWN_VERSION = -1
# Time after the deadline in which the other host's answer may still arrive.
REPLY_GRACE_S = 0.02
# Hosts to which a request is rerouted, one after the other while they decline.
MAX_REROUTES = 3
# No further host is asked after this time, in which one that answers at all has
# answered.
MAX_REROUTE_S = 0.1
# A request that another host works on notices within this time that this host
# stops.
MAX_STOP_CHECK_S = 0.5
# How long requests of a route are not rerouted after no host took one.
REROUTE_PAUSE_S = 0.3
# Reason to decline a request, if this host lacks searchers itself.
UNREACHABLE = "unreachable"
# Reason to decline a request whose account this host does not know as the other
# host does.
ACCOUNT_UNKNOWN = "account"


@dataclasses.dataclass(frozen=True, slots=True)
class DelegatedRequest:
    """A request that another host delegated to this one.

    Attributes:
        request: The client's request.
        version: Version of the other host's configuration; `UNKNOWN_VERSION`
            if it is not stated.
        attempts: Attempts that may be made for each shard, if the other host
            lacks searchers for it; 0 if it does not.
        service: Service that the other host chose for a forwarded request;
            "" if none.
        account: Name of the client account; "" if none.
        sent_before: What the other host has done with the request.
    """

    request: ClientRequest
    version: int
    attempts: int
    service: str
    account: str = ""
    sent_before: SentBefore = SentBefore.UNKNOWN

    def is_rerouted(self) -> bool:
        """Returns whether the other host lacks searchers for the request."""
        return self.attempts > 0

    def account_mismatch(self, checked: ClientRequest | None) -> str:
        """Returns the reason to decline for the account; "" for none.

        A host of an earlier build, or without accounts, names no account and
        passes the client's key on, which this host then checks itself.

        Args:
            checked: The request after the check of its key; None if it has no
                valid key.
        """
        if checked is None:
            has_key = self.request.authorization and not self.account
            return "" if has_key else ACCOUNT_UNKNOWN
        if self.account and self.account != checked.account_name():
            return ACCOUNT_UNKNOWN
        return ""

    def limit_attempts(self, route: Route) -> Route:
        """Returns its route with the attempts that may still be made.

        Args:
            route: The request's route on this host.
        """
        if not self.is_rerouted():
            return route
        attempts = min(route.max_attempts, self.attempts)
        return dataclasses.replace(route, max_attempts=attempts)

    def services(self, route: Route) -> tuple[str, ...]:
        """Returns the services that may serve a forwarded request.

        Args:
            route: The request's route on this host.
        """
        known = route.services()
        return (self.service,) if self.service in known else known


class Delegator:
    """Delegates requests to other hosts, and accepts theirs.

    Attributes:
        state: The state of this host.
        pool: Connections to other entry hosts.
    """

    def __init__(self, state: EntryState):
        self.state = state
        self.pool = TargetPool(state.settings.machine.memory_mb)
        self._reroutes_paused_until = {}

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
        own = self.state.settings.machine.capacity()
        chosen = choose_delegate(
            own,
            # A host with the same capacity is never faster, and in most fleets
            # all hosts have the same.
            self._candidates(request, lambda peer: peer.capacity != own),
            route,
            monotonic_s(),
            self.state.random.random,
        )
        if chosen is None:
            return None
        return self._delegate(chosen, request, route, b"")

    def try_reroute(
        self,
        request: ClientRequest,
        route: Route,
        shards: tuple[str, ...],
        attempts: int,
        sent_before: SentBefore = SentBefore.UNKNOWN,
    ) -> ClientReply | None:
        """Gives a request to a host that reaches searchers.

        Args:
            request: The request; it was sent to no searcher, or may be
                repeated.
            route: Its route.
            shards: Its shards, or the service of a forwarded request.
            attempts: Attempts that the other host may make for each shard.
            sent_before: What this host has done with it.

        Returns:
            The answer; None if no other host takes the request.
        """
        began = monotonic_s()
        if began < self._reroutes_paused_until.get(route.name, 0.0):
            return None
        headers = b"%b: %d\r\n%b: %d\r\n" % (
            REROUTED_HEADER,
            attempts,
            SENT_BEFORE_HEADER,
            sent_before,
        )
        if not route.shards:
            headers += b"%b: %b\r\n" % (SERVICE_HEADER, shards[0].encode())
        ranked = rank_reroutes(
            self._candidates(request, lambda peer: True),
            route,
            began,
            self.state.random.random,
        )
        for chosen in ranked[:MAX_REROUTES]:
            reply = self._delegate(chosen, request, route, headers)
            if reply is not None:
                self.state.counters["rerouted"] += 1
                return reply
            if monotonic_s() - began > MAX_REROUTE_S:
                break
        self.state.counters["reroutes_failed"] += 1
        now = monotonic_s()
        if not any(chosen.delegate.has_served(now) for chosen in ranked):
            # The searchers are probably lost to all hosts.
            self._reroutes_paused_until[route.name] = now + REROUTE_PAUSE_S
        return None

    def _delegate(
        self,
        chosen: Candidate,
        request: ClientRequest,
        route: Route,
        headers: bytes,
    ) -> ClientReply | None:
        """Gives a request to a host.

        Args:
            chosen: The host.
            request: The request.
            route: Its route.
            headers: Further header lines.

        Returns:
            The answer; None if the request did not reach the host, or if it
            declined.
        """
        now = monotonic_s()
        client_wait_s = min(request.time_left_s or math.inf, route.timeout_s)
        deadline = request.received_at + client_wait_s + REPLY_GRACE_S
        delegate, key = chosen.delegate, id(request)
        delegate.in_flight[key] = now
        try:
            message = self._call(chosen, request, route, deadline, headers)
        except CallError as error:
            delegate.record_failure(error.unresponsive, monotonic_s())
            if error.unresponsive:
                self.state.peer_zones.record_unresponsive(
                    chosen.zone, chosen.name, monotonic_s()
                )
            self._log(request, route, chosen, str(error), headers, error.sent)
            if not error.sent:
                return None
            status = 504 if monotonic_s() >= deadline - REPLY_GRACE_S else 502
            return ClientReply(status, (), b"lost at another host\n")
        finally:
            delegate.in_flight.pop(key, None)
        self.state.peer_zones.record_response(chosen.zone, monotonic_s())
        reason = message.header(DECLINED_HEADER)
        if reason is not None:
            if reason.decode() == UNREACHABLE:
                delegate.record_unable(route.name, monotonic_s())
            else:
                delegate.record_declined(monotonic_s())
            outcome = f"declined: {reason.decode()}"
            self._log(request, route, chosen, outcome, headers)
            return None
        delegate.record_response(route.name, monotonic_s())
        self._log(request, route, chosen, message.status, headers)
        return ClientReply(
            message.status, message.end_to_end_headers(), message.body()
        )

    def _call(self, chosen, request, route, deadline, headers) -> RawMessage:
        now = monotonic_s()
        version = self.state.table.config.version
        data = encode_request(
            request, delegation_headers(request, version, now) + headers
        )
        bodyless = request.method == "HEAD"
        max_idle_s = math.inf if route.repeatable else NON_REPEATABLE_MAX_IDLE_S

        def call():
            try:
                return self.pool.call(
                    chosen.name,
                    chosen.address,
                    data,
                    lambda message: True,
                    deadline,
                    bodyless,
                    max_idle_s,
                )
            except CallError as error:
                return error

        thread = eventlet.spawn(call)
        result = None
        try:
            response_timeout_s = (
                RESPONSE_TIMEOUT_MULTIPLE * route.target_latency_s
            )
            stop_s = max(0.0, self.state.answer_by - monotonic_s())
            with eventlet.Timeout(min(response_timeout_s, stop_s), False):
                result = thread.wait()
            if result is None:
                self._check_not_stopped()
            if result is None and chosen.delegate.is_unresponsive(now):
                raise CallError("no response from the host", unresponsive=True)
            result = result or self._wait_until_stop(thread)
        finally:
            # Also when the calling green thread is killed.
            thread.kill()
        if isinstance(result, CallError):
            raise result
        return result

    def _wait_until_stop(self, thread) -> RawMessage | CallError:
        """Waits for a call, but not longer than this host can still answer.

        Raises:
            CallError: This host has to answer its client now.
        """
        while True:
            # A stop may begin while the call is in flight.
            self._check_not_stopped()
            left_s = self.state.answer_by - monotonic_s()
            wait_s = max(0.0, min(left_s, MAX_STOP_CHECK_S))
            with eventlet.Timeout(wait_s, False):
                return thread.wait()

    def _check_not_stopped(self) -> None:
        """Raises a CallError if this host has to answer its client now."""
        if monotonic_s() >= self.state.answer_by:
            raise CallError("this host stops")

    def decline_reason(
        self, delegated: DelegatedRequest, route: Route | None
    ) -> str:
        """Returns the reason to decline a delegated request; "" to accept it.

        Args:
            delegated: The request.
            route: Its route on this host.
        """
        state = self.state
        if state.stopping:
            return "stopping"
        if not state.is_configured() or not self._accepts_version(delegated):
            return "configuration"
        if route is None or not (route.shards or delegated.is_rerouted()):
            return "route"
        shards = route.shards or delegated.services(route)
        if state.lacks_searchers(route, shards, monotonic_s()):
            return UNREACHABLE
        shards_in_flight = state.scattered_shards + len(shards)
        capacity = state.settings.machine.capacity()
        if not has_capacity(shards_in_flight, capacity, route.target_latency_s):
            return "busy"
        return ""

    def _accepts_version(self, delegated: DelegatedRequest) -> bool:
        """Returns whether this host's configuration may serve a request.

        A host without searchers cannot serve its requests itself while
        configurations differ, so a newer configuration serves them as well.
        """
        own = self.state.table.config.version
        if delegated.is_rerouted():
            return delegated.version <= own
        return delegated.version == own

    def prune(self, now: float) -> None:
        """Forgets what no longer matters.

        These are connections that idled too long or whose host was removed, and
        backoffs that have ended.
        """
        paused = self._reroutes_paused_until
        for route in [name for name, until in paused.items() if until <= now]:
            del paused[route]
        for delegate in self.state.delegates.values():
            delegate.forget_unable(now)
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

    def _candidates(
        self, request: ClientRequest, accepts: Callable[[Peer], bool]
    ) -> Iterator[Candidate]:
        """Yields the hosts that may be given a request.

        Hosts of earlier builds would not tell searchers its account.
        """
        has_account = request.account is not None
        own_zone = self.state.settings.zone
        delegates = self.state.delegates
        suspected = self.state.peer_zones.suspected_zones(monotonic_s())
        for peer in self.state.peers.peers.values():
            if has_account and not peer.knows_accounts:
                continue
            if peer.relay_port and accepts(peer):
                yield Candidate(
                    peer.name,
                    Address(peer.address.host, peer.relay_port),
                    peer.capacity,
                    peer.zone == own_zone,
                    peer.last_received_at,
                    delegates.setdefault(peer.name, Delegate()),
                    peer.zone in suspected,
                    peer.zone,
                    peer.cut_off,
                )

    def _log(
        self, request, route, chosen, outcome, headers, lost=False
    ) -> None:
        self.state.counters["handed_over"] += 1
        self.state.log.write(
            "handed_over",
            request_id=request.request_id,
            account=request.account_name(),
            route=route.name,
            config=self.state.table.config.version,
            to=chosen.name,
            heard_s=round(monotonic_s() - chosen.last_received_at, 3),
            outcome=outcome,
            rerouted=REROUTED_HEADER in headers,
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
    if request.account is not None:
        lines += b"%b: %b\r\n%b: %b\r\n" % (
            ACCOUNT_HEADER,
            quote(request.account.name, safe="").encode(),
            KEY_DIGEST_HEADER,
            request.key_digest.hex().encode(),
        )
    return lines


def decode_delegated_request(request: ClientRequest) -> DelegatedRequest:
    """Restores the client's request from a delegated request.

    Args:
        request: The request as received from the other host.
    """
    found = dict(request.headers)
    left_us = found.get(TIME_LEFT_HEADER, b"")
    lead_us = found.get(LEAD_HEADER, b"")
    version = found.get(CONFIG_VERSION_HEADER, b"")
    attempts = found.get(REROUTED_HEADER, b"")
    age_us = found.get(AGE_HEADER, b"")
    client_request = dataclasses.replace(
        request,
        headers=tuple(
            h for h in request.headers if h[0] not in _DELEGATION_HEADERS
        ),
        time_left_s=int(left_us) / 1e6 if left_us.isdigit() else None,
        is_first=FIRST_HEADER in found,
        lead_s=int(lead_us) / 1e6 if lead_us.isdigit() else None,
        received_at=request.received_at
        - (int(age_us) / 1e6 if age_us.isdigit() else 0.0),
        key_digest=_decode_digest(found.get(KEY_DIGEST_HEADER, b"")),
    )
    return DelegatedRequest(
        client_request,
        int(version) if version.isdigit() else UNKNOWN_VERSION,
        int(attempts) if attempts.isdigit() else 0,
        found.get(SERVICE_HEADER, b"").decode("latin-1"),
        unquote(found.get(ACCOUNT_HEADER, b"").decode("latin-1")),
        _decode_sent_before(found.get(SENT_BEFORE_HEADER, b"")),
    )


def _decode_sent_before(value: bytes) -> SentBefore:
    known = {b"%d" % item: item for item in SentBefore}
    return known.get(value, SentBefore.UNKNOWN)


def _decode_digest(value: bytes) -> bytes:
    try:
        return bytes.fromhex(value.decode("latin-1"))
    except ValueError:
        return b""


def declined_reply(reason: str) -> ClientReply:
    """Returns the reply that declines a delegated request."""
    return ClientReply(DECLINED_STATUS, ((DECLINED_HEADER, reason.encode()),))


def reply_with_keep_alive(reply: ClientReply, idle_s: float) -> ClientReply:
    """Returns a reply with a Keep-Alive header for the idle timeout."""
    field = (b"Keep-Alive", b"timeout=%d" % idle_s)
    return ClientReply(reply.status, (*reply.headers, field), reply.body)
