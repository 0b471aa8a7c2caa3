"""Writes claim buckets to the platform's store, many claims to a write.

One entry host, chosen by rendezvous hashing, normally writes a bucket, so that
claims from all hosts share its writes. Two writers at once are safe, because
every write is a compare-and-swap on the version last read.
"""

from kumquatspur.controllers import placement
from kumquatspur.controllers.blackboard import Blackboard
from kumquatspur.core import actions, events, messages
from kumquatspur.core.events import StoreStatus
from kumquatspur.policy import claims
from kumquatspur.policy.claims import (
    Bucket,
    BucketWriter,
    ClaimRequest,
    WaitingClaim,
)

# A claim on an idle bucket waits this long for others.
GROUP_S = 0.003
# Shortest time between two writes of a bucket, which bounds the store's load.
WRITE_INTERVAL_S = 0.04
STORE_RETRY_S = 0.02
MAX_STORE_RETRY_S = 1.0
MAX_STORE_FAILURES = 10


def bucket_key(board: Blackboard, number: int) -> str:
    """Returns the store's key of a bucket."""
    return f"{board.settings.prefix}/claims/{number}"


def choose_writer(
    board: Blackboard, digest: str, now: float, silent: str = ""
) -> str:
    """Chooses the entry host that should write a digest's bucket.

    Args:
        board: The blackboard.
        digest: The digest.
        now: The current time.
        silent: A host that does not answer.

    Returns:
        The first host by rank, or the second if the first is silent. Since all
        hosts choose alike, a bucket never has many writers.
    """
    group = f"claims/{claims.bucket_of(digest)}"
    ranked = placement.rank_hosts(board, group, now)
    return next((name for name in ranked if name != silent), silent)


def on_claim(board: Blackboard, peer: str, message, now: float):
    """Queues a claim.

    Args:
        board: The blackboard.
        peer: The entry host that wants it.
        message: The `ClaimKey`.
        now: The current time.

    Returns:
        Actions.
    """
    request = ClaimRequest(message.digest, message.nonce, message.release)
    deadline = now + message.remaining_ms / 1000.0
    number = claims.bucket_of(message.digest)
    writer = board.claim_writers.setdefault(number, BucketWriter(number))
    writer.waiting.append(WaitingClaim(request, peer, deadline))
    if not writer.scheduled:
        at = max(now + GROUP_S, writer.last_write + WRITE_INTERVAL_S)
        _schedule(board, writer, at)
    return []


def on_step_due(board: Blackboard, event: events.ClaimWriteDue, now: float):
    """Reads or writes a bucket.

    Args:
        board: The blackboard.
        event: The timer.
        now: The current time.

    Returns:
        Actions.
    """
    writer = board.claim_writers[event.bucket]
    writer.scheduled = False
    return _step(board, writer, now)


def _schedule(board: Blackboard, writer: BucketWriter, at: float) -> None:
    writer.scheduled = True
    board.schedule(at, events.ClaimWriteDue(writer.number))


def _step(board: Blackboard, writer: BucketWriter, now: float):
    writer.waiting = [c for c in writer.waiting if c.deadline > now]
    if not writer.waiting:
        return []
    if writer.bucket is None:
        return _read(board, writer)
    group = tuple(writer.waiting)
    requests = tuple(claim.request for claim in group)
    base = writer.next_bucket(now)
    bucket, statuses = claims.apply_requests(base, requests)
    if bucket == writer.bucket:
        return _answer(board, writer, group, statuses)
    return _write(board, writer, bucket, group, statuses, now)


def _read(board: Blackboard, writer: BucketWriter):
    def on_end(board, event, now):
        writer.scheduled = False
        if event.status is not StoreStatus.OK:
            return _retry_later(board, writer, now)
        bucket = claims.decode_bucket(event.value)
        writer.apply_stored(bucket, event.version, now)
        return _step(board, writer, now)

    writer.scheduled = True
    call_id = board.new_id()
    board.store_calls[call_id] = on_end
    return [actions.ReadStoreKey(call_id, bucket_key(board, writer.number))]


def _write(board, writer: BucketWriter, bucket: Bucket, group, statuses, now):
    def on_end(board, event, now):
        writer.scheduled = False
        if event.status is StoreStatus.OK:
            writer.apply_stored(bucket, event.version, now)
            writer.failures = 0
            return _answer(board, writer, group, statuses)
        # A lost answer is settled by the nonces that the next read finds.
        writer.bucket = None
        board.counters[f"claim_writes_{event.status}"] += 1
        if event.status is StoreStatus.CONFLICT:
            share = board.rng.uniform(0.5, 1.0)
            _schedule(board, writer, now + WRITE_INTERVAL_S * share)
            return []
        return _retry_later(board, writer, now)

    writer.scheduled = True
    writer.last_write = now
    board.counters["claim_writes"] += 1
    call_id = board.new_id()
    board.store_calls[call_id] = on_end
    key = bucket_key(board, writer.number)
    value = claims.encode_bucket(bucket)
    return [actions.WriteStoreKey(call_id, key, value, writer.version)]


def _retry_later(board: Blackboard, writer: BucketWriter, now: float):
    delay = min(STORE_RETRY_S * 2**writer.failures, MAX_STORE_RETRY_S)
    writer.failures = min(writer.failures + 1, MAX_STORE_FAILURES)
    _schedule(board, writer, now + delay * board.rng.uniform(0.5, 1.0))
    return []


def _answer(board, writer: BucketWriter, group, statuses):
    writer.waiting = [c for c in writer.waiting if c not in group]
    if writer.waiting and not writer.scheduled:
        _schedule(board, writer, writer.last_write + WRITE_INTERVAL_S)
    found = []
    for claim in group:
        nonce = claim.request.nonce
        status = statuses.get(nonce)
        if claim.request.release or status is None:
            continue
        reply = messages.ClaimReply(nonce, status)
        found.append(placement.send_peer(board, claim.sender, reply))
    return found
