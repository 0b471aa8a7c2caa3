"""Claims of idempotency keys, grouped in buckets of the configuration store.

A bucket is one key of the store. It maps digests of idempotency keys to the
nonce of the request that claimed each. A bucket keeps the claims of two
generations; starting a new generation drops the older one. A host starts a
generation only after it has known the current one for the whole period
`GENERATION_S`, so expiry does not depend on clocks that are synchronized
between hosts.
"""

import dataclasses
import json

import xxhash

from kumquatspur.core.messages import ClaimStatus
from kumquatspur.core.records import record

BUCKETS = 16
GENERATION_S = 300.0
# Per bucket. Claims beyond this are answered as UNSETTLED.
MAX_CLAIMS_PER_GENERATION = 8000


@record
class ClaimRequest:
    """A request to claim a digest or to release a claim.

    Attributes:
        digest: Digest of service and idempotency key.
        nonce: Identifies the request that claims the digest.
        release: Whether the claim is released because it was not used.
    """

    digest: str
    nonce: str
    release: bool = False


@record
class Bucket:
    """The claims of one bucket.

    Attributes:
        generation: Number of the newer generation.
        current: Nonces by digest in the newer generation.
        previous: Nonces by digest in the older generation.
    """

    generation: int = 1
    current: dict[str, str] = dataclasses.field(default_factory=dict)
    previous: dict[str, str] = dataclasses.field(default_factory=dict)


def digest_key(service: str, idempotency_key: str) -> str:
    """Returns the digest of a service's idempotency key."""
    return xxhash.xxh3_128_hexdigest(f"{service}\0{idempotency_key}".encode())


def request_nonce(request_id: str) -> str:
    """Returns the nonce that identifies a request in claims."""
    return xxhash.xxh3_64_hexdigest(request_id.encode())


def bucket_of(digest: str) -> int:
    """Returns the number of the bucket that a digest belongs to."""
    return int(digest[:8], 16) % BUCKETS


def encode_bucket(bucket: Bucket) -> str:
    """Returns the JSON text of a bucket for the store."""
    return json.dumps(
        [bucket.generation, bucket.current, bucket.previous],
        separators=(",", ":"),
    )


def decode_bucket(text: str | None) -> Bucket:
    """Parses the JSON text of a bucket; None yields an empty bucket."""
    return Bucket(*json.loads(text)) if text else Bucket()


def rotate(bucket: Bucket) -> Bucket:
    """Starts a new generation and drops the claims of the older one."""
    return Bucket(bucket.generation + 1, {}, bucket.current)


def apply_requests(
    bucket: Bucket, requests: tuple[ClaimRequest, ...]
) -> tuple[Bucket, dict[str, ClaimStatus]]:
    """Applies claim requests in order.

    Args:
        bucket: The bucket.
        requests: The claim requests.

    Returns:
        The new bucket, and the status of each claim by nonce. A status WON is
        valid only after the new bucket has been written to the store.
    """
    current, previous = dict(bucket.current), dict(bucket.previous)
    statuses = {}
    for request in requests:
        holder = current.get(request.digest) or previous.get(request.digest)
        if request.release:
            if holder == request.nonce:
                current.pop(request.digest, None)
                previous.pop(request.digest, None)
            continue
        statuses[request.nonce] = _status(holder, request, current)
        if statuses[request.nonce] is ClaimStatus.WON and not holder:
            current[request.digest] = request.nonce
    return Bucket(bucket.generation, current, previous), statuses


def _status(holder, request: ClaimRequest, current) -> ClaimStatus:
    if holder:
        won = holder == request.nonce
        return ClaimStatus.WON if won else ClaimStatus.TAKEN
    if len(current) >= MAX_CLAIMS_PER_GENERATION:
        return ClaimStatus.UNSETTLED
    return ClaimStatus.WON


@dataclasses.dataclass
class WaitingClaim:
    """A claim request that has not been answered yet.

    Attributes:
        request: The claim request.
        sender: The entry host that sent it.
        deadline: Time after which the sender no longer needs the answer.
    """

    request: ClaimRequest
    sender: str
    deadline: float


@dataclasses.dataclass
class BucketWriter:
    """State of a bucket that this host writes.

    Attributes:
        number: Number of the bucket.
        waiting: Claims that are not answered yet, oldest first.
        scheduled: Whether the next read or write of the bucket is scheduled or
            in progress.
        bucket: The bucket as last read or written; None if unknown.
        version: Version of the bucket in the store.
        last_write: When the bucket was last written.
        generation: The newest generation read from the store.
        generation_seen_at: When this host first read that generation.
        failures: Failed store calls since the last success.
    """

    number: int
    waiting: list[WaitingClaim] = dataclasses.field(default_factory=list)
    scheduled: bool = False
    bucket: Bucket | None = None
    version: int = 0
    last_write: float = float("-inf")
    generation: int = 0
    generation_seen_at: float = 0.0
    failures: int = 0

    def apply_stored(self, bucket: Bucket, version: int, now: float) -> None:
        """Updates the state after the bucket was read from the store."""
        self.bucket = bucket
        self.version = version
        if bucket.generation != self.generation:
            self.generation = bucket.generation
            self.generation_seen_at = now

    def next_bucket(self, now: float) -> Bucket:
        """Returns the bucket, with a new generation started if one is due."""
        if now - self.generation_seen_at >= GENERATION_S:
            return rotate(self.bucket)
        return self.bucket
