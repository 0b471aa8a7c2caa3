"""Exchange of state between entry hosts on the platform.

Hosts tell each other who is there, which contents crash searchers, and, if one
of them is cut off from the store, the store's state.
"""

import dataclasses

import eventlet
import urllib3

from kumquatspur.border import exchange_codec
from kumquatspur.border.exchange_codec import (
    Exchange,
    HeardHost,
    ToldIncident,
    ToldItem,
)
from kumquatspur.core.records import Address
from kumquatspur.platform.store import StoreChange, StoreView
from kumquatspur.policy.crash_suspects import MEMORY_S, Incident
from kumquatspur.wire.entry_state import UNKNOWN_HOSTS, EntryState
from kumquatspur.wire.http_server import HttpServer
from kumquatspur.wire.searcher_pool import steady
from kumquatspur.wire.store_mirror import StoreMirror
from kumquatspur.wire.store_watch import WAIT_S

INTERVAL_S = 1.0
# A host without the store, or with news that others need, asks more often.
URGENT_INTERVAL_S = 0.3
CALL_TIMEOUT_S = 0.5
# A view is out of date if a watch should have ended since.
STALE_S = WAIT_S + 0.5
UNKNOWN_AGE_S = 1e6
PATH = "/exchange"


class PeerExchange:
    """Talks with other entry hosts.

    Attributes:
        state: The blackboard.
        mirror: The state of the store.
    """

    def __init__(self, state: EntryState, mirror: StoreMirror):
        self.state = state
        self.mirror = mirror
        self._pool = urllib3.PoolManager(
            num_pools=16, maxsize=1, retries=False, timeout=CALL_TIMEOUT_S
        )
        self._wake = eventlet.semaphore.Semaphore(0)

    def start(self) -> None:
        """Starts serving and asking."""
        if self.state.settings.peer is None:
            return
        HttpServer(self.state.settings.peer, self._serve)
        eventlet.spawn_n(self._run)

    def hurry(self) -> None:
        """Starts the next exchange at once."""
        self._wake.release()

    def _run(self) -> None:
        while True:
            urgent = self._is_stale() or not self.state.peers.peers
            interval = URGENT_INTERVAL_S if urgent else INTERVAL_S
            jitter = self.state.random.uniform(0.8, 1.2)
            self._wake.acquire(timeout=interval * jitter)
            self._ask()
            self._count_hosts()

    def _ask(self) -> None:
        addresses = self.state.peers.addresses(
            seed
            for seed in self.state.settings.seeds
            if seed != self.state.settings.peer
        )
        if not addresses:
            return
        address = self.state.random.choice(addresses)
        try:
            response = self._pool.request(
                "POST",
                f"http://{address.host}:{address.port}{PATH}",
                body=exchange_codec.encode(self._tell()),
            )
            if response.status != 200:
                raise ValueError(f"status {response.status}")
            self._take(exchange_codec.decode(response.data))
        except (urllib3.exceptions.HTTPError, OSError, ValueError) as error:
            self.state.counters["peer_exchange_failed"] += 1
            self.state.log.write(
                "peer_unreachable",
                address=f"{address.host}:{address.port}",
                error=str(error)[:120],
            )

    def _serve(self, environ, start_response):
        try:
            length = int(environ.get("CONTENT_LENGTH") or 0)
            data = environ["wsgi.input"].read(length)
            exchange = exchange_codec.decode(data)
        except (OSError, ValueError) as error:
            self.state.counters["peer_messages_rejected"] += 1
            start_response("400 Bad Request", [])
            return [str(error).encode()[:200]]
        self._take(exchange)
        behind = exchange.revision < (self.mirror.revision or 0)
        asks = exchange.age_s > STALE_S and exchange.age_s > self._age_s()
        reply = self._tell(with_items=asks or (behind and exchange.age_s > 1))
        start_response("200 OK", [("Content-Type", "application/msgpack")])
        return [exchange_codec.encode(reply)]

    def _tell(self, with_items: bool = False) -> Exchange:
        now = steady()
        own = self.state.settings.peer
        view = self.mirror.view()
        return Exchange(
            name=self.state.settings.name,
            ip=own.host,
            port=own.port,
            revision=view.revision,
            age_s=self._age_s(),
            hosts=[
                HeardHost(
                    name=peer.name,
                    ip=peer.address.host,
                    port=peer.address.port,
                    age_s=max(0.0, now - peer.heard),
                )
                for peer in self.state.peers.named(self.state.random.sample)
            ],
            incidents=[
                ToldIncident(
                    **{
                        field: getattr(incident, field)
                        for field in (
                            "incident_id",
                            "fingerprint",
                            "searcher",
                            "shard",
                            "alone",
                        )
                    },
                    age_s=max(0.0, now - incident.noted),
                )
                for known in self.state.suspects.incidents.values()
                for incident in known.values()
            ],
            items=[
                ToldItem(**dataclasses.asdict(item)) for item in view.changes
            ]
            if with_items
            else None,
        )

    def _take(self, told: Exchange) -> None:
        now = steady()
        peers = self.state.peers
        peers.note(told.name, Address(told.ip, told.port), now)
        for host in told.hosts:
            address = Address(host.ip, host.port)
            peers.note(host.name, address, now - host.age_s)
        self.state.suspects.add(
            Incident(
                incident.incident_id,
                incident.fingerprint,
                incident.searcher,
                incident.shard,
                incident.alone,
                now - incident.age_s,
                now - incident.age_s + MEMORY_S,
            )
            for incident in told.incidents
        )
        if told.items is not None and told.age_s < self._age_s():
            self._take_view(told, now)

    def _take_view(self, told: Exchange, now: float) -> None:
        if told.revision < (self.mirror.revision or 0):
            return
        at = now - told.age_s
        if told.revision == self.mirror.revision:
            self.state.directory.note_contact(told.revision, at, at)
            return
        items = tuple(
            StoreChange(item.key, item.revision, item.value)
            for item in told.items
        )
        view = StoreView(told.revision, items)
        self.mirror.replace(view, at, at, f"peer {told.name}")

    def _count_hosts(self) -> None:
        now = steady()
        for name in self.state.peers.forget_silent(now):
            self.state.log.write("peer_lost", True, peer=name)
        self.state.extra_attempts.hosts = self.state.peers.host_count(
            now, UNKNOWN_HOSTS
        )

    def _age_s(self) -> float:
        read_at = self.state.directory.read_at
        return steady() - read_at if read_at >= 0 else UNKNOWN_AGE_S

    def _is_stale(self) -> bool:
        return self._age_s() > STALE_S
