"""Actions that a node's decision code requests from the I/O layer.

A node is the decision code and state of one daemon, the process of an entry
host. The store in these actions is the platform's configuration store, which
contains the configuration, the watchers' leases and the claims.
"""

from typing import Any

from kumquatspur.core.records import Address, Answer, Refusal, Searcher, record


@record
class AnswerCaller:
    """Send the final answer to a caller."""

    answer: Answer


@record
class RefuseCaller:
    """Send a final refusal to a caller immediately."""

    refusal: Refusal


@record
class SendPeer:
    """Send a message to another entry host."""

    peer: str
    address: Address
    message: Any


@record
class Item:
    """The search of one shard in a request to a searcher.

    Attributes:
        item_id: Identifier, unique across all entry hosts.
        shard: The shard to search.
        content: The query itself, opaque JSON text.
        limit: The maximum number of hits.
        snapshot: The snapshot to search.
        deadline: When the result is due, in seconds of this host's monotonic
            clock.
        repeatable: Whether the search may be executed more than once.
        hedge: Whether this is a hedge.
        sub_id: The sub-query that the item belongs to.
        fingerprint: Hash of the content; equal for all queries with the same
            content.
        suspect_of: Searcher that may have crashed on this content; "" if none.
    """

    item_id: str
    shard: str
    content: str
    limit: int
    snapshot: int
    deadline: float
    repeatable: bool
    hedge: bool
    sub_id: str
    fingerprint: str = ""
    suspect_of: str = ""


@record
class CallUpstream:
    """Send one request with one or more items to a searcher."""

    call_id: str
    searcher: Searcher
    items: tuple[Item, ...]
    deadline: float


@record
class CancelUpstream:
    """Cancel a call; its connection must not be reused."""

    call_id: str


@record
class ProbeUpstream:
    """Ask a searcher for its status."""

    searcher: Searcher


@record
class ReadStoreKey:
    """Read a key of the configuration store."""

    call_id: str
    key: str


@record
class WriteStoreKey:
    """Write a key of the configuration store if its version is as expected.

    Attributes:
        call_id: Identifier of the call in the `StoreCallEnded` event.
        key: The key.
        value: The new value; None to delete the key.
        version: The expected version; 0 to create the key.
        lease: Lease whose expiry deletes the key; "" for none.
    """

    call_id: str
    key: str
    value: str | None
    version: int
    lease: str = ""


@record
class WatchStoreKey:
    """Wait until a key of the configuration store has a newer version."""

    call_id: str
    key: str
    version: int
    wait_s: float


@record
class KeepStoreLease:
    """Obtain a lease from the configuration store, or renew one.

    Attributes:
        call_id: Identifier of the call in the `StoreCallEnded` event.
        lease: The lease to renew; "" to obtain a new one.
        ttl_s: Time to live of the lease, in seconds.
    """

    call_id: str
    lease: str
    ttl_s: float


@record
class LogEvent:
    """Write a log line.

    Attributes:
        name: The event's name.
        fields: The event's fields as pairs of name and value.
    """

    name: str
    fields: tuple[tuple[str, Any], ...]
