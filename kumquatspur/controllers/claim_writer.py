"""Writes claim buckets to the configuration store, many claims per write.

Normally one entry host, chosen by rendezvous hashing, writes a bucket, so that
claims from all hosts share its writes. Concurrent writers are safe because
every write is a compare-and-swap on the version last read.
"""

from kumquatspur.controllers import placement
from kumquatspur.controllers.node_state import NodeState
from kumquatspur.core import actions, events, messages
from kumquatspur.core.events import StoreStatus
from kumquatspur.policy import claims
from kumquatspur.policy.claims import (
    Bucket,
    BucketWriter,
    ClaimRequest,
    WaitingClaim,
)

# A claim on an idle bucket is delayed to be written together with others.
CLAIM_BATCH_DELAY_S = 0.003
# Shortest interval between two writes of a bucket; bounds the store's load.
WRITE_INTERVAL_S = 0.04
STORE_RETRY_S = 0.02
MAX_STORE_RETRY_S = 1.0
MAX_STORE_FAILURES = 10


def bucket_key(node: NodeState, number: int) -> str:
    """Returns the store key of a bucket."""
    return f"{node.settings.prefix}/claims/{number}"


def choose_writer(
    node: NodeState, digest: str, now: float, unresponsive: str = ""
) -> str:
    """Chooses the entry host that should write a digest's bucket.

    Args:
        node: The state of this node.
        digest: The digest.
        now: The current time.
        unresponsive: A host that did not reply, or "".

    Returns:
        The highest-ranked host other than the unresponsive one, if there is
        any. All hosts compute the same ranking unless their views of live
        hosts differ, so that few hosts write a bucket at a time.
    """
    key = f"claims/{claims.bucket_of(digest)}"
    ranked = placement.rank_hosts(node, key, now)
    return next((name for name in ranked if name != unresponsive), unresponsive)


def on_claim(node: NodeState, peer: str, message, now: float):
    """Queues a claim.

    Args:
        node: The state of this node.
        peer: The entry host that requests it.
        message: The `ClaimKey`.
        now: The current time.

    Returns:
        Actions.
    """
    request = ClaimRequest(message.digest, message.nonce, message.release)
    deadline = now + message.remaining_ms / 1000.0
    number = claims.bucket_of(message.digest)
    writer = node.claim_writers.setdefault(number, BucketWriter(number))
    writer.waiting.append(WaitingClaim(request, peer, deadline))
    if not writer.scheduled:
        at = max(
            now + CLAIM_BATCH_DELAY_S, writer.last_write + WRITE_INTERVAL_S
        )
        _schedule(node, writer, at)
    return []


def on_write_due(node: NodeState, event: events.ClaimWriteDue, now: float):
    """Reads or writes a bucket.

    Args:
        node: The state of this node.
        event: The timer.
        now: The current time.

    Returns:
        Actions.
    """
    writer = node.claim_writers[event.bucket]
    writer.scheduled = False
    return _advance(node, writer, now)


def _schedule(node: NodeState, writer: BucketWriter, at: float) -> None:
    writer.scheduled = True
    node.schedule(at, events.ClaimWriteDue(writer.number))


def _advance(node: NodeState, writer: BucketWriter, now: float):
    writer.waiting = [c for c in writer.waiting if c.deadline > now]
    if not writer.waiting:
        return []
    if writer.bucket is None:
        return _read(node, writer)
    batch = tuple(writer.waiting)
    requests = tuple(claim.request for claim in batch)
    base = writer.next_bucket(now)
    bucket, statuses = claims.apply_requests(base, requests)
    if bucket == writer.bucket:
        return _answer(node, writer, batch, statuses)
    return _write(node, writer, bucket, batch, statuses, now)


def _read(node: NodeState, writer: BucketWriter):
    def on_end(node, event, now):
        writer.scheduled = False
        if event.status is not StoreStatus.OK:
            return _retry_later(node, writer, now)
        bucket = claims.decode_bucket(event.value)
        writer.apply_stored(bucket, event.version, now)
        return _advance(node, writer, now)

    writer.scheduled = True
    call_id = node.new_id()
    node.store_calls[call_id] = on_end
    return [actions.ReadStoreKey(call_id, bucket_key(node, writer.number))]


def _write(node, writer: BucketWriter, bucket: Bucket, batch, statuses, now):
    def on_end(node, event, now):
        writer.scheduled = False
        if event.status is StoreStatus.OK:
            writer.apply_stored(bucket, event.version, now)
            writer.failures = 0
            return _answer(node, writer, batch, statuses)
        # If the reply was lost, the write may have succeeded; the nonces in
        # the bucket read next show whether it did.
        writer.bucket = None
        node.counters[f"claim_writes_{event.status}"] += 1
        if event.status is StoreStatus.CONFLICT:
            share = node.rng.uniform(0.5, 1.0)
            _schedule(node, writer, now + WRITE_INTERVAL_S * share)
            return []
        return _retry_later(node, writer, now)

    writer.scheduled = True
    writer.last_write = now
    node.counters["claim_writes"] += 1
    call_id = node.new_id()
    node.store_calls[call_id] = on_end
    key = bucket_key(node, writer.number)
    value = claims.encode_bucket(bucket)
    return [actions.WriteStoreKey(call_id, key, value, writer.version)]


def _retry_later(node: NodeState, writer: BucketWriter, now: float):
    delay = min(STORE_RETRY_S * 2**writer.failures, MAX_STORE_RETRY_S)
    writer.failures = min(writer.failures + 1, MAX_STORE_FAILURES)
    _schedule(node, writer, now + delay * node.rng.uniform(0.5, 1.0))
    return []


def _answer(node, writer: BucketWriter, batch, statuses):
    writer.waiting = [c for c in writer.waiting if c not in batch]
    if writer.waiting and not writer.scheduled:
        _schedule(node, writer, writer.last_write + WRITE_INTERVAL_S)
    new_actions = []
    for claim in batch:
        nonce = claim.request.nonce
        status = statuses.get(nonce)
        if claim.request.release or status is None:
            continue
        reply = messages.ClaimReply(nonce, status)
        new_actions.append(placement.send_peer(node, claim.sender, reply))
    return new_actions
