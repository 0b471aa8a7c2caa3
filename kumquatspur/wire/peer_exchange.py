"""Exchange of state between entry hosts on the platform.

Hosts gossip about known peers, slow searchers and contents that crash
searchers. A few hosts of each zone watch the store; the others follow them to
receive its changes. A host without access to the store uses the view of any
other host.
"""

from collections.abc import Callable, Iterable, Mapping

import eventlet
import msgspec

from kumquatspur.border import exchange_codec
from kumquatspur.border.exchange_codec import (
    ContentRun,
    CrashIncident,
    Exchange,
    KnownHost,
    LeavingSearcher,
    LimitStatement,
    SlowSearcher,
    StoreItem,
)
from kumquatspur.core.records import Address
from kumquatspur.core.routing import HostCapacity
from kumquatspur.platform.store import StoreChange, StoreView
from kumquatspur.policy.crash_suspects import INCIDENT_TTL_S, Incident
from kumquatspur.policy.peer_table import Peer
from kumquatspur.policy.searcher_choice import slow_searchers
from kumquatspur.policy.searcher_limits import UNLEASED_SHARE
from kumquatspur.policy.store_position import (
    StorePosition,
    is_newer,
    is_same_era,
)
from kumquatspur.wire import evacuation_sync, warmup_watch
from kumquatspur.wire.containment import Containment, report_error
from kumquatspur.wire.entry_state import ASSUMED_HOSTS, EntryState
from kumquatspur.wire.http_server import HttpServer
from kumquatspur.wire.json_http import CLOSE_KEY
from kumquatspur.wire.peer_calls import CALL_TIMEOUT_S, PeerCalls
from kumquatspur.wire.searcher_pool import monotonic_s
from kumquatspur.wire.store_mirror import StoreMirror
from kumquatspur.wire.store_watch import WATCH_WAIT_S

EXCHANGE_INTERVAL_S = 1.0
# Used while this host has no current view of the store, or no peers.
URGENT_EXCHANGE_INTERVAL_S = 0.3
# Each watch that ends renews the age of the view, so an older view means that a
# watch has failed.
STALE_VIEW_S = WATCH_WAIT_S + 0.5
# Age reported while this host has no view.
UNKNOWN_AGE_S = 1e6
EXCHANGE_PATH = "/exchange"
FOLLOW_PATH = "/follow"
# How long a follower waits for changes. This and the call timeout together are
# well below the setting config_apply_ms, in which a change must be in force.
FOLLOW_WAIT_S = 1.2
# How long a watcher is not followed after a failure.
WATCHER_BACKOFF_S = 3.0
# Searchers that said that they leave are told to other hosts for this time.
MAX_LEAVING_AGE_S = 30.0
MAX_LEAVING_REPORTED = 64
# Bounds the size of a message while many searchers name limits.
MAX_LIMITS_REPORTED = 64
# A message is compressed, and refers to the items that the other host has.
MAX_MESSAGE_BYTES = 4 * 1024 * 1024
MAX_RUNS_REPORTED = 64
_CALL_ERRORS = (OSError, ValueError)


class PeerExchange:
    """Exchanges state with other entry hosts.

    Attributes:
        state: The state of this host.
        mirror: The local copy of the store.
        calls: Calls other hosts.
        handlers: Functions that answer further kinds of messages, by path.
        followed: Name of the watcher that this host follows; None if it reads
            the store itself.
    """

    def __init__(
        self,
        state: EntryState,
        mirror: StoreMirror,
        calls: PeerCalls,
        handlers: Mapping[str, Callable[[bytes], bytes]],
    ):
        self.state = state
        self.mirror = mirror
        self.calls = calls
        self.handlers = {
            **handlers,
            FOLLOW_PATH: self._serve_follower,
            EXCHANGE_PATH: self._serve_exchange,
        }
        self._wake = eventlet.semaphore.Semaphore(0)
        self._backoff_until = {}
        self._needs_full_view = False
        self.followed = None

    def start(self) -> None:
        """Starts the server for peers and the periodic exchange."""
        if self.state.settings.peer is None:
            return
        HttpServer(self.state.settings.peer, self._serve)
        # Until the first exchange, only the store tells which searchers are
        # cold, and its entries lag behind.
        self.exchange_now()
        eventlet.spawn_n(self._run)

    def exchange_now(self) -> None:
        """Starts the next exchange at once."""
        self._wake.release()

    def follow(self) -> bool:
        """Waits for changes of the store from a watcher of this zone.

        Returns:
            False if this host is a watcher, or no watcher could be followed.
            Then this host has to read the store itself.
        """
        watchers = self.state.peers.watchers()
        # An entry None means this host.
        if None in watchers or self.mirror.revision is None:
            self._record_followed(None)
            return False
        for peer in watchers:
            if monotonic_s() >= self._backoff_until.get(peer.name, 0.0):
                if self._follow(peer):
                    return True
        self._record_followed(None)
        return False

    def _follow(self, peer: Peer) -> bool:
        timeout_s = FOLLOW_WAIT_S + CALL_TIMEOUT_S
        try:
            message = self._post(
                peer.address, FOLLOW_PATH, self._exchange_header(), timeout_s
            )
        except _CALL_ERRORS as error:
            self._back_off_from(peer, str(error))
            return False
        if message.age_s > STALE_VIEW_S:
            self._back_off_from(
                peer,
                f"view is {message.age_s:.1f} s old, limit {STALE_VIEW_S} s",
            )
            return False
        own = self.mirror.position()
        if own.era > message.era and not is_same_era(own.era, message.era):
            self._back_off_from(
                peer,
                f"view is of era {message.era}, the copy of era {own.era}",
            )
            return False
        if message.evacuations is None:
            # A host of an earlier build does not pass evacuations on.
            self._back_off_from(peer, "tells no evacuations")
            return False
        self._record_followed(peer.name)
        self._apply_searcher_states(message)
        self._apply_view(message)
        return True

    def _record_followed(self, name: str | None) -> None:
        if name != self.followed:
            self.followed = name
            self.state.log.write("store_followed_by", True, watcher=name)

    def _back_off_from(self, peer: Peer, error: str) -> None:
        self._backoff_until[peer.name] = monotonic_s() + WATCHER_BACKOFF_S
        self.state.counters["follow_failed"] += 1
        self.state.log.write(
            "watcher_unfit", True, watcher=peer.name, error=error[:120]
        )

    def _run(self) -> None:
        while not self.state.ended:
            urgent = (
                self._contact_age_s() > STALE_VIEW_S
                or not self.state.peers.peers
            )
            interval = (
                URGENT_EXCHANGE_INTERVAL_S if urgent else EXCHANGE_INTERVAL_S
            )
            jitter = self.state.random.uniform(0.8, 1.2)
            self._wake.acquire(timeout=interval * jitter)
            with Containment(self.state, "exchange"):
                self._exchange_once()
            with Containment(self.state, "update_peers"):
                self._update_peers_and_budget()

    def _exchange_once(self) -> None:
        own = self.state.settings.peer
        seeds = [item for item in self.state.settings.seeds if item != own]
        chance = self.state.random.random()
        gossip_targets = self.state.peers.gossip_targets(seeds, chance)
        if not gossip_targets:
            return
        self.exchange_with(self.state.random.choice(gossip_targets))

    def exchange_with(self, address: Address) -> None:
        """Exchanges state with the host that listens on a peer address."""
        try:
            message = self._post(
                address, EXCHANGE_PATH, self._exchange_message(), CALL_TIMEOUT_S
            )
        except _CALL_ERRORS as error:
            self.state.counters["peer_exchange_failed"] += 1
            self.state.log.write(
                "peer_unreachable",
                address=f"{address.host}:{address.port}",
                error=str(error)[:120],
            )
            return
        self._apply_exchange(message)

    def _post(
        self, address: Address, path: str, exchange: Exchange, timeout_s: float
    ) -> Exchange:
        data = exchange_codec.encode(exchange)
        return exchange_codec.decode(
            self.calls.call(address, path, data, timeout_s)
        )

    def _serve(self, environ, start_response):
        handler = self.handlers.get(environ["PATH_INFO"], self._serve_exchange)
        try:
            length = int(environ.get("CONTENT_LENGTH") or 0)
            if not 0 <= length <= MAX_MESSAGE_BYTES:
                environ[CLOSE_KEY]()
                raise ValueError(
                    f"message has {length} bytes, limit {MAX_MESSAGE_BYTES}"
                )
            reply = handler(environ["wsgi.input"].read(length))
        except (OSError, ValueError) as error:
            self.state.counters["peer_messages_rejected"] += 1
            start_response("400 Bad Request", [])
            return [str(error).encode()[:200]]
        except Exception as error:
            report_error(
                self.state, "serve_peer", error, path=environ["PATH_INFO"]
            )
            start_response("500 Internal Server Error", [])
            return [type(error).__name__.encode()]
        start_response("200 OK", [("Content-Type", "application/msgpack")])
        return [reply]

    def _serve_exchange(self, data: bytes) -> bytes:
        exchange = exchange_codec.decode(data)
        return exchange_codec.encode(self._answer_exchange(exchange))

    def _serve_follower(self, data: bytes) -> bytes:
        exchange = exchange_codec.decode(data)
        return exchange_codec.encode(self._answer_follower(exchange))

    def _answer_exchange(self, exchange: Exchange) -> Exchange:
        self._apply_exchange(exchange)
        stale = (
            exchange.age_s > STALE_VIEW_S
            and exchange.age_s > self._contact_age_s()
        )
        behind = is_newer(self.mirror.position(), _position(exchange))
        # A host whose copy was confirmed in the last second still has a working
        # watch, which brings the changes.
        update = {}
        if stale or (behind and exchange.age_s > 1.0):
            update = self._view_for(exchange)
        update["config"] = self._config_for(exchange)
        return msgspec.structs.replace(self._exchange_message(), **update)

    def _view_for(self, exchange: Exchange) -> dict:
        """Returns the message fields that update another host's view."""
        same_era = is_same_era(exchange.era, self.mirror.era)
        known = exchange.revision if same_era and not exchange.whole else 0
        changed, kept = self.mirror.view_for(known)
        return {"items": _encode_items(changed), "kept": tuple(kept)}

    def _answer_follower(self, exchange: Exchange) -> Exchange:
        """Waits for changes after a follower's revision, and returns them."""
        self._apply_searcher_states(exchange)
        if not is_newer(self.mirror.position(), _position(exchange)):
            self.mirror.changed.wait(timeout=FOLLOW_WAIT_S)
        changes = None
        if is_same_era(exchange.era, self.mirror.era):
            changes = self.mirror.changes_after(exchange.revision)
        if changes is None or exchange.whole:
            view = self._view_for(exchange)
            return msgspec.structs.replace(self._exchange_header(), **view)
        return msgspec.structs.replace(
            self._exchange_header(), changes=_encode_items(changes)
        )

    def _exchange_header(self) -> Exchange:
        own, relay = self.state.settings.peer, self.state.settings.relay
        capacity = self.state.peers.own_capacity
        now = monotonic_s()
        table = self.state.table
        slow = slow_searchers(self.state.loads, now)
        leaving = self.state.directory.recently_left(
            now, MAX_LEAVING_AGE_S, MAX_LEAVING_REPORTED
        )
        return Exchange(
            name=self.state.settings.name,
            zone=self.state.settings.zone,
            ip=own.host,
            port=own.port,
            relay_port=relay.port if relay else 0,
            link_mbps=capacity.link_mbps,
            cores=capacity.cores,
            cut_off=self.state.is_cut_off(now),
            knows_accounts=True,
            lends_quotas=True,
            running_s=max(0.0, now - self.state.quotas.started_at),
            revision=self.mirror.revision or 0,
            era=self.mirror.era,
            config_version=table.config.version if table else -1,
            age_s=self._contact_age_s(),
            whole=self._needs_full_view,
            slow=tuple(
                SlowSearcher(searcher=name, slowness=slowness, age_s=age_s)
                for name, slowness, age_s in slow
            ),
            leaving=tuple(
                LeavingSearcher(
                    searcher=name,
                    started_unix_ms=departure.started_unix_ms,
                    age_s=max(0.0, now - departure.at),
                )
                for name, departure in leaving
            ),
            limits=self._limit_statements(now),
            warmups=warmup_watch.statements(self.state, now),
            evacuations=evacuation_sync.statement(self.state),
        )

    def _limit_statements(self, now: float) -> tuple[LimitStatement, ...]:
        known = self.state.limits.statements(now)
        if len(known) > MAX_LIMITS_REPORTED:
            known = self.state.random.sample(known, MAX_LIMITS_REPORTED)
        return tuple(
            LimitStatement(
                searcher=name, per_s=per_s, age_s=max(0.0, now - stated_at)
            )
            for name, per_s, stated_at in known
        )

    def _config_for(self, exchange: Exchange) -> StoreItem | None:
        """Returns the configuration in force, if the peer cannot know it.

        After a restore of the store, a host that starts reads an older
        configuration than the one that is in force elsewhere.
        """
        item, table = self.mirror.config_item, self.state.table
        theirs = exchange.config_version
        if item is None or theirs is None or theirs >= table.config.version:
            return None
        in_view = self.mirror.items.get(item.key)
        if (
            in_view is not None
            and in_view.value == item.value
            and is_newer(self.mirror.position(), _position(exchange))
        ):
            # The peer gets the configuration with the newer view.
            return None
        return StoreItem(key=item.key, revision=item.revision, value=item.value)

    def _exchange_message(self) -> Exchange:
        now = monotonic_s()
        return msgspec.structs.replace(
            self._exchange_header(),
            hosts=self._known_hosts(now),
            incidents=self._crash_incidents(now),
            runs=tuple(
                ContentRun(
                    fingerprint=fingerprint,
                    shard=shard,
                    age_s=max(0.0, now - at),
                )
                for fingerprint, shard, at in self.state.suspects.recent_runs(
                    now, MAX_RUNS_REPORTED
                )
            ),
        )

    def _known_hosts(self, now: float) -> tuple[KnownHost, ...]:
        return tuple(
            KnownHost(
                name=peer.name,
                zone=peer.zone,
                ip=peer.address.host,
                port=peer.address.port,
                age_s=round(max(0.0, now - peer.last_received_at), 2),
                relay_port=peer.relay_port,
                link_mbps=peer.capacity.link_mbps,
                cores=peer.capacity.cores,
                cut_off=peer.cut_off,
                knows_accounts=peer.knows_accounts,
                lends_quotas=peer.lends_quotas,
            )
            for peer in self.state.peers.sample_peers(self.state.random.sample)
        )

    def _crash_incidents(self, now: float) -> tuple[CrashIncident, ...]:
        return tuple(
            CrashIncident(
                incident_id=incident.incident_id,
                fingerprint=incident.fingerprint,
                searcher=incident.searcher,
                shard=incident.shard,
                alone=incident.alone,
                age_s=max(0.0, now - incident.observed_at),
            )
            for known in self.state.suspects.incidents.values()
            for incident in known.values()
        )

    def _apply_exchange(self, message: Exchange) -> None:
        now = monotonic_s()
        peers = self.state.peers
        peers.merge_peer(_decode_peer(message, now))
        own_running_s = now - self.state.quotas.started_at
        peers.record_running(message.running_s, own_running_s)
        for host in message.hosts:
            peers.merge_peer(_decode_peer(host, now - host.age_s))
        self._apply_searcher_states(message)
        if message.config is not None:
            (item,) = _decode_items((message.config,))
            self.mirror.apply_config_item(item, f"peer {message.name}")
        self.state.suspects.add(
            Incident(
                incident.incident_id,
                incident.fingerprint,
                incident.searcher,
                incident.shard,
                incident.alone,
                now - incident.age_s,
                now - incident.age_s + INCIDENT_TTL_S,
            )
            for incident in message.incidents
        )
        self.state.suspects.learn_runs(
            (run.fingerprint, run.shard, now - run.age_s)
            for run in message.runs
        )
        if message.items is not None and message.age_s < self._contact_age_s():
            self._apply_view(message)
            # A host that starts learns of the searchers by this view only.
            warmup_watch.apply_statements(
                self.state, message.warmups, message.name
            )

    def _apply_searcher_states(self, message: Exchange) -> None:
        """Applies what another host knows of searchers and their zones."""
        evacuation_sync.apply_statement(self.state, message)
        now = monotonic_s()
        directory = self.state.directory
        for item in message.leaving:
            if directory.record_leaving(
                item.searcher, item.started_unix_ms, now - item.age_s
            ):
                self.state.log.write(
                    "searcher_leaving",
                    True,
                    searcher=item.searcher,
                    source=f"peer {message.name}",
                    age_s=round(item.age_s, 3),
                )
        for item in message.slow:
            if item.searcher in self.state.directory.by_id:
                self.state.load(item.searcher).apply_reported_slowness(
                    item.slowness, now - item.age_s
                )
        self._apply_limits(message, now)
        warmup_watch.apply_statements(self.state, message.warmups, message.name)

    def _apply_limits(self, message: Exchange, now: float) -> None:
        """Applies what another host knows of searchers' limits."""
        for item in message.limits:
            if item.searcher not in self.state.directory.by_id:
                continue
            at = now - item.age_s
            if self.state.limits.record(item.searcher, item.per_s, at):
                self.state.log.write(
                    "searcher_limit",
                    True,
                    searcher=item.searcher,
                    per_s=item.per_s,
                    source=f"peer {message.name}",
                )

    def _apply_view(self, message: Exchange) -> None:
        """Applies another host's view of the store, or its changes."""
        own, theirs = self.mirror.position(), _position(message)
        if is_newer(own, theirs):
            return
        same_era = is_same_era(own.era, theirs.era)
        at = monotonic_s() - message.age_s
        source = f"peer {message.name}"
        if message.changes is not None and same_era:
            view = StoreView(
                message.revision, _decode_items(message.changes), message.era
            )
            self.mirror.apply(view, at, at, source)
        elif same_era and message.revision == own.revision:
            self.state.directory.record_store_contact(at, at)
        elif message.items is not None:
            view = self.mirror.merge_view(
                message.revision,
                _decode_items(message.items),
                message.kept,
                message.era,
            )
            self._needs_full_view = view is None
            if view is None:
                self.state.log.write("view_incomplete", True, source=source)
                return
            self.mirror.replace(view, at, at, source)

    def _update_peers_and_budget(self) -> None:
        now = monotonic_s()
        for name in self.state.peers.remove_expired(now):
            self.state.log.write("peer_lost", True, peer=name)
        budget = self.state.extra_attempts
        sharers = self.state.peers.sharers(now, ASSUMED_HOSTS)
        if sharers != budget.sharers:
            self.state.log.write(
                "budget_shared",
                True,
                sharers=round(sharers, 2),
                previous=round(budget.sharers, 2),
                heard=len(self.state.peers.peers),
            )
            budget.sharers = sharers
        self.state.limits.unleased_share = UNLEASED_SHARE / sharers

    def _contact_age_s(self) -> float:
        last_contact_at = self.state.directory.last_contact_at
        return (
            monotonic_s() - last_contact_at
            if last_contact_at >= 0
            else UNKNOWN_AGE_S
        )


def _position(message: Exchange) -> StorePosition:
    """Returns the state of the store that the sender's view shows."""
    return StorePosition(message.era, message.revision)


def _decode_peer(host: Exchange | KnownHost, last_received_at: float) -> Peer:
    return Peer(
        host.name,
        host.zone,
        Address(host.ip, host.port),
        last_received_at,
        HostCapacity(host.link_mbps, host.cores),
        host.relay_port,
        host.cut_off,
        host.knows_accounts,
        host.lends_quotas,
    )


def _encode_items(changes: Iterable[StoreChange]) -> tuple[StoreItem, ...]:
    return tuple(
        StoreItem(key=item.key, revision=item.revision, value=item.value)
        for item in changes
    )


def _decode_items(items: Iterable[StoreItem]) -> tuple[StoreChange, ...]:
    return tuple(
        StoreChange(item.key, item.revision, item.value) for item in items
    )
