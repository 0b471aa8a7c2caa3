"""Messages in which entry hosts on the platform exchange their state."""

from typing import Annotated

import msgspec

from kumquatspur.border import packing
from kumquatspur.border.packing import (
    MAX_COUNT,
    Count,
    Message,
    NonEmptyStr,
    NonNegative,
    Positive,
)

MAX_PORT = 65535
Era = Annotated[int, msgspec.Meta(ge=-1, le=MAX_COUNT)]
Port = Annotated[int, msgspec.Meta(ge=1, le=MAX_PORT)]
RelayPort = Annotated[int, msgspec.Meta(ge=0, le=MAX_PORT)]
# Names would be looked up, which blocks the whole process.
IpAddress = Annotated[str, msgspec.Meta(pattern=r"^[0-9.]{1,15}\Z")]


class _HostFields(Message, kw_only=True):
    """Fields that describe an entry host.

    Attributes:
        name: The host's name.
        zone: The host's availability zone.
        ip: IP address that the host listens on for peers.
        port: Port that the host listens on for peers.
        relay_port: Port for delegated scattered requests; 0 if the host
            accepts none.
        link_mbps: Bandwidth of the host's network link, in Mbit/s.
        cores: Computing power of the host, as a number of cores of standard
            speed.
        cut_off: Whether the host reaches no searchers.
        knows_accounts: Whether the host's build checks the keys of client
            accounts. Earlier builds do not send it.
        lends_quotas: Whether the host's build holds and lends parts of the
            quotas of client accounts. Earlier builds do not send it.
    """

    name: NonEmptyStr
    zone: str
    ip: IpAddress
    port: Port
    relay_port: RelayPort = 0
    link_mbps: Positive
    cores: Positive
    cut_off: bool = False
    knows_accounts: bool = False
    lends_quotas: bool = False


class KnownHost(_HostFields, kw_only=True):
    """Another host that the sender has in its peer table.

    Attributes:
        age_s: Time since the host's last message to any host.
    """

    age_s: NonNegative


class CrashIncident(Message, kw_only=True):
    """The crash of a searcher while a request was in flight there.

    Attributes:
        incident_id: Identifier, unique across all entry hosts.
        fingerprint: Hash of the request's content.
        searcher: The searcher that crashed.
        shard: The shard that the searcher was to search.
        alone: Whether no request with other content was in flight there.
        age_s: Time since the crash was recorded.
    """

    incident_id: str
    fingerprint: str
    searcher: str
    shard: str
    alone: bool
    age_s: NonNegative


class ContentRun(Message, kw_only=True):
    """A content that was suspected of crashes and ran on a shard without one.

    Attributes:
        fingerprint: Hash of the request's content.
        shard: The shard.
        age_s: Time since its answer.
    """

    fingerprint: str
    shard: str
    age_s: NonNegative


class SlowSearcher(Message, kw_only=True):
    """A searcher that is slower than usual.

    Attributes:
        searcher: The searcher's identifier.
        slowness: Latency divided by the typical latency of all searchers.
        age_s: Time since the measurement.
    """

    searcher: str
    slowness: NonNegative
    age_s: NonNegative


class LeavingSearcher(Message, kw_only=True):
    """A searcher that said in an answer that it leaves.

    Attributes:
        searcher: The searcher's identifier.
        started_unix_ms: Unix time of its start in milliseconds; 0 if unknown.
        age_s: Time since the answer.
    """

    searcher: str
    started_unix_ms: Count
    age_s: NonNegative


class LimitStatement(Message, kw_only=True):
    """What a searcher has stated about its limit.

    Attributes:
        searcher: The searcher's identifier.
        per_s: Requests per second from all hosts together; None if it named no
            limit.
        age_s: Time since its answer.
    """

    searcher: str
    per_s: NonNegative | None
    age_s: NonNegative


class WarmupStatement(Message, kw_only=True):
    """What a host knows of a searcher's warm-up.

    Attributes:
        searcher: The searcher's identifier.
        left_s: Remaining warm-up time when it was stated or assumed; 0 if the
            searcher was warm.
        kind: Why it is taken for cold or warm, a
            `kumquatspur.policy.warmups.WarmupKind`; others are skipped.
        age_s: Time since then.
    """

    searcher: str
    left_s: NonNegative
    kind: str
    age_s: NonNegative


class StoreItem(Message, kw_only=True):
    """An item of the platform's metadata store.

    Attributes:
        key: The item's key.
        revision: Store revision of the item's last change.
        value: The item's value; None if the item was removed.
    """

    key: str
    revision: Count
    # May contain the keys of accounts, which must not get into logs.
    value: bytes | None

    def __repr__(self):
        return f"StoreItem(key={self.key!r}, revision={self.revision})"


class EvacuationStatement(Message, kw_only=True):
    """The evacuated zones, as of a state of the store.

    Attributes:
        era: Era of the store that they are from; -1 if unknown.
        revision: Revision of the store that they are from.
        zones: Zones with a key in the store.
    """

    era: Era = -1
    revision: Count
    zones: tuple[str, ...] = ()


class Exchange(_HostFields, kw_only=True):
    """State that one host, the sender, sends to another.

    Attributes:
        revision: Revision of the sender's view of the store; 0 if it has
            none.
        age_s: Time since the sender's view was current.
        era: Era of the store that the view is from; -1 if unknown.
        running_s: Time since the sender's start; 0 from an earlier build.
        config_version: Version of the configuration in force; -1 if none is,
            None from a host that does not tell it.
        config: The sender's configuration, if the receiver has an older one
            from a view that is not older; None otherwise.
        slow: Searchers that are slower than usual.
        leaving: Searchers that said in answers that they leave.
        limits: What searchers have stated about their limits.
        warmups: Searchers that are cold, or were a short time ago.
        evacuations: The evacuated zones; None if the sender does not know them
            or runs an earlier build.
        hosts: Hosts in the sender's peer table.
        incidents: Recent crashes of searchers, with the requests suspected of
            causing them.
        runs: Contents that have run since they were suspected. Earlier builds
            do not send them.
        whole: Whether the sender needs all items, whatever its revision.
        items: The sender's view of the store, without the items that the
            receiver already has; None if the view is not sent.
        kept: Keys of the view's items that the receiver already has.
        changes: Changes since the receiver's revision; None if they are not
            sent.
    """

    revision: Count
    age_s: NonNegative
    era: Era = -1
    running_s: NonNegative = 0.0
    config_version: Era | None = None
    config: StoreItem | None = None
    leaving: tuple[LeavingSearcher, ...] = ()
    limits: tuple[LimitStatement, ...] = ()
    warmups: tuple[WarmupStatement, ...] = ()
    evacuations: EvacuationStatement | None = None
    slow: tuple[SlowSearcher, ...] = ()
    hosts: tuple[KnownHost, ...] = ()
    incidents: tuple[CrashIncident, ...] = ()
    runs: tuple[ContentRun, ...] = ()
    whole: bool = False
    items: tuple[StoreItem, ...] | None = None
    kept: tuple[str, ...] = ()
    changes: tuple[StoreItem, ...] | None = None


def encode(exchange: Exchange) -> bytes:
    """Encodes a message."""
    return packing.pack(exchange)


def decode(data: bytes) -> Exchange:
    """Decodes a message.

    Args:
        data: The bytes received.

    Raises:
        ValueError: The bytes are not a valid message.
    """
    return packing.unpack(data, Exchange)
