"""Claims the idempotency key of a query before the query starts.

An entry host, the writer, records claims in the configuration store.
"""

from collections.abc import Callable

from kumquatspur.controllers import claim_writer, placement
from kumquatspur.controllers.node_state import NodeState, PendingClaim
from kumquatspur.core import actions, events, messages
from kumquatspur.core.messages import ClaimStatus
from kumquatspur.core.reason import Reason
from kumquatspur.core.records import Query, Refusal
from kumquatspur.core.verdict import Verdict
from kumquatspur.policy import claims

# Shares of the remaining time after which a claim goes to another writer, and
# after which the query is refused.
REROUTE_SHARE = 0.4
SETTLE_SHARE = 0.7
RETRY_AFTER_S = 1.0
RELEASE_TIMEOUT_S = 5.0

# Claim status to reason, verdict and message of the refusal. The verdict of
# TAKEN refers to the key: an earlier request with it may have run.
_REFUSALS = {
    ClaimStatus.TAKEN: (
        Reason.ALREADY_CLAIMED,
        Verdict.MAY_HAVE_RUN,
        "an earlier request with this idempotency key may have run; "
        "this one was not run",
    ),
    ClaimStatus.UNSETTLED: (
        Reason.CLAIM_UNSETTLED,
        Verdict.NOT_RUN,
        "the idempotency key could not be claimed in time",
    ),
}


def claim(node: NodeState, query: Query, proceed: Callable, now: float):
    """Claims a query's idempotency key.

    Args:
        node: The state of this node.
        query: The query.
        proceed: Called with node state, query and time once the claim is won.
        now: The current time.

    Returns:
        Actions.
    """
    digest = claims.digest_key(query.service, query.idempotency_key)
    nonce = claims.request_nonce(query.request_id)
    remaining_s = query.deadline - now
    pending = PendingClaim(
        query,
        digest,
        claim_writer.choose_writer(node, digest, now),
        now + remaining_s * SETTLE_SHARE,
        proceed,
    )
    node.claims[nonce] = pending
    node.schedule(
        now + remaining_s * REROUTE_SHARE, events.ClaimRerouteDue(nonce)
    )
    node.schedule(pending.settle_by, events.ClaimSettleDue(nonce))
    return [_send_claim(node, nonce, pending, now)]


def on_reply(node: NodeState, peer: str, message, now: float):
    """Starts or refuses a query after the reply to its claim.

    Args:
        node: The state of this node.
        peer: The writer.
        message: The `ClaimReply`.
        now: The current time.

    Returns:
        Actions.
    """
    pending = node.claims.pop(message.nonce, None)
    if pending is None:
        node.counters["late_claim_replies"] += 1
        return []
    status = message.status
    if status is ClaimStatus.WON:
        if now < pending.settle_by:
            return pending.proceed(node, pending.query, now)
        status = ClaimStatus.UNSETTLED
    return _refuse(node, pending.query, status)


def on_reroute_due(node: NodeState, event: events.ClaimRerouteDue, now):
    """Sends a claim to another writer when the first one has not replied.

    Args:
        node: The state of this node.
        event: The timer.
        now: The current time.

    Returns:
        Actions.
    """
    pending = node.claims.get(event.nonce)
    if pending is None:
        return []
    return [_reroute(node, event.nonce, pending, now)]


def on_settle_due(node: NodeState, event: events.ClaimSettleDue, now: float):
    """Refuses a query whose claim could not be settled in time.

    Args:
        node: The state of this node.
        event: The timer.
        now: The current time.

    Returns:
        Actions.
    """
    pending = node.claims.pop(event.nonce, None)
    if pending is None:
        return []
    return _refuse(node, pending.query, ClaimStatus.UNSETTLED)


def on_peer_lost(node: NodeState, event: events.PeerLost, now: float):
    """Sends claims that a disconnected writer had to other writers.

    Args:
        node: The state of this node.
        event: The disconnected peer.
        now: The current time.

    Returns:
        Actions.
    """
    return [
        _reroute(node, nonce, pending, now)
        for nonce, pending in node.claims.items()
        if pending.writer_host == event.peer
    ]


def release(node: NodeState, query: Query, verdict: Verdict) -> None:
    """Schedules the release of a query's claim if the query was not run.

    Args:
        node: The state of this node.
        query: The query, which has ended; it will not run later.
        verdict: Its verdict.
    """
    if query.idempotency_key and verdict is Verdict.NOT_RUN:
        digest = claims.digest_key(query.service, query.idempotency_key)
        nonce = claims.request_nonce(query.request_id)
        # Time 0.0 is always due, so the timer fires as soon as possible.
        node.schedule(0.0, events.ClaimReleaseDue(digest, nonce))


def on_release_due(node: NodeState, event: events.ClaimReleaseDue, now):
    """Sends the release of a claim to the writer of its bucket.

    Args:
        node: The state of this node.
        event: The timer.
        now: The current time.

    Returns:
        Actions.
    """
    node.counters["claims_released"] += 1
    message = messages.ClaimKey(
        event.digest, event.nonce, RELEASE_TIMEOUT_S * 1000.0, True
    )
    writer_host = claim_writer.choose_writer(node, event.digest, now)
    return [placement.send_peer(node, writer_host, message)]


def _send_claim(node: NodeState, nonce: str, pending: PendingClaim, now: float):
    remaining_ms = (pending.settle_by - now) * 1000.0
    message = messages.ClaimKey(pending.digest, nonce, remaining_ms, False)
    return placement.send_peer(node, pending.writer_host, message)


def _reroute(node: NodeState, nonce: str, pending: PendingClaim, now):
    node.counters["claims_rerouted"] += 1
    pending.writer_host = claim_writer.choose_writer(
        node, pending.digest, now, pending.writer_host
    )
    return _send_claim(node, nonce, pending, now)


def _refuse(node, query: Query, status: ClaimStatus):
    reason, verdict, message = _REFUSALS[status]
    node.counters[f"claims_{status}"] += 1
    refusal = Refusal(query.request_id, reason, verdict, RETRY_AFTER_S, message)
    if status is ClaimStatus.UNSETTLED:
        release(node, query, Verdict.NOT_RUN)
    return [actions.RefuseCaller(refusal)]
