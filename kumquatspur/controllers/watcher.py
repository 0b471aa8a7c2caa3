"""The role of a watcher of the head key for an availability zone.

Each zone has `WATCHERS_PER_ZONE` keys in the store. A host that binds one of
them to its lease watches the head key until the lease may have expired by the
host's own clock. Hosts that see too few live watchers try to take a free key;
a random choice lets only a few try at a time.
"""

import functools

from kumquatspur.controllers import membership_view
from kumquatspur.controllers.config_distribution import WatcherLease
from kumquatspur.controllers.node_state import NodeState
from kumquatspur.core import actions, events
from kumquatspur.core.events import StoreStatus

WATCHERS_PER_ZONE = 2
LEASE_TTL_S = 3.0
LEASE_RENEW_S = 1.0
WATCH_WAIT_S = 10.0
MIN_WATCH_INTERVAL_S = 0.1
# Average number of a zone's hosts that try to take a free key per tick.
TAKERS_PER_TICK = 3.0
# The backoff is this, doubled with each consecutive failure.
BACKOFF_BASE_S = 0.5
MAX_BACKOFF_S = 8.0


def store_call(node: NodeState, action_type, on_ended, **fields) -> list:
    """Builds a store action and registers its callback.

    Args:
        node: The state of this node.
        action_type: The type of the action.
        on_ended: Called with node state, `StoreCallEnded` and time when the
            call ends; returns actions.
        **fields: The fields of the action except its call id.

    Returns:
        The action, in a list.
    """
    call_id = node.new_id()
    node.store_calls[call_id] = on_ended
    node.counters["store_calls"] += 1
    return [action_type(call_id=call_id, **fields)]


def record_store_call(node: NodeState, event: events.StoreCallEnded) -> None:
    """Updates the number of consecutive failed calls to the store."""
    distribution = node.distribution
    failed = event.status is StoreStatus.UNAVAILABLE
    distribution.store_failures = (
        distribution.store_failures + 1 if failed else 0
    )


def backoff_s(store_failures: int) -> float:
    """Returns the pause after consecutive failed calls, in seconds."""
    if not store_failures:
        return 0.0
    doublings = min(store_failures - 1, 16)
    return min(MAX_BACKOFF_S, BACKOFF_BASE_S * 2**doublings)


def run_watcher(node: NodeState, on_head, now: float) -> list:
    """Renews the watcher role, gives it up, or tries to take it.

    Args:
        node: The state of this node.
        on_head: Handles the `StoreCallEnded` of a watch.
        now: The current time.

    Returns:
        Actions.
    """
    distribution = node.distribution
    if distribution.lease is None:
        return _try_take_key(node, on_head, now)
    if now - distribution.lease.renewed_at > LEASE_TTL_S:
        return _step_down(node, now)
    new_actions = watch(node, on_head)
    if now - distribution.lease.renewal_sent_at >= LEASE_RENEW_S:
        new_actions += _renew(node, now)
    return new_actions


def on_stop(node: NodeState, event: events.StopRequested, now: float):
    """Gives up the watcher role so that another host can take it at once.

    Args:
        node: The state of this node.
        event: The request to stop.
        now: The current time.

    Returns:
        Actions.
    """
    lease = node.distribution.lease
    if lease is None:
        return []
    new_actions = store_call(
        node,
        actions.WriteStoreKey,
        _ignore,
        key=lease.key,
        value=None,
        version=lease.key_version,
    )
    return new_actions + _step_down(node, now)


def _ignore(node, event, now):
    return []


def _step_down(node: NodeState, now: float) -> list:
    node.distribution.lease = None
    node.distribution.watch_call = ""
    membership_view.change_own_entry(node, now)
    return [actions.LogEvent("watcher_lost", ())]


def watch(node: NodeState, on_head) -> list:
    """Starts a watch of the head key if this node is a watcher without one.

    Args:
        node: The state of this node.
        on_head: Handles the `StoreCallEnded` of the watch.

    Returns:
        Actions.
    """
    distribution = node.distribution
    if distribution.watch_call or distribution.lease is None:
        return []
    new_actions = store_call(
        node,
        actions.WatchStoreKey,
        functools.partial(_on_watch_ended, on_head=on_head),
        key=f"{node.settings.prefix}/head",
        version=distribution.head_version,
        wait_s=WATCH_WAIT_S,
    )
    distribution.watch_call = new_actions[0].call_id
    return new_actions


def _on_watch_ended(node: NodeState, event, now: float, *, on_head):
    distribution = node.distribution
    changed = event.version != distribution.head_version
    new_actions = on_head(node, event, now)
    if event.call_id != distribution.watch_call:
        return new_actions
    distribution.watch_call = ""
    if event.status is not StoreStatus.OK:
        return new_actions
    if changed:
        node.schedule(now + MIN_WATCH_INTERVAL_S, events.WatchDue())
        return new_actions
    return new_actions + watch(node, on_head)


def _renew(node: NodeState, now: float) -> list:
    lease = node.distribution.lease
    lease.renewal_sent_at = now
    return store_call(
        node,
        actions.KeepStoreLease,
        functools.partial(_on_renewed, lease=lease, sent=now),
        lease=lease.lease_id,
        ttl_s=LEASE_TTL_S,
    )


def _on_renewed(node: NodeState, event, now, *, lease, sent: float):
    if event.status is StoreStatus.OK:
        lease.renewed_at = sent
    return []


def _try_take_key(node: NodeState, on_head, now: float) -> list:
    distribution = node.distribution
    missing = WATCHERS_PER_ZONE - len(membership_view.live_watchers(node, now))
    if missing <= 0 or node.stopping or now < distribution.next_take_at:
        return []
    host_count = len(membership_view.zone_peers(node, now)) + 1
    if node.rng.random() * host_count > TAKERS_PER_TICK:
        return []
    key_index = node.rng.randrange(WATCHERS_PER_ZONE)
    prefix, zone = node.settings.prefix, node.settings.zone
    key = f"{prefix}/watchers/{zone}/{key_index}"
    on_ended = functools.partial(_on_key_read, key=key, on_head=on_head)
    return store_call(node, actions.ReadStoreKey, on_ended, key=key)


def _on_key_read(node: NodeState, event, now, *, key: str, on_head):
    record_store_call(node, event)
    distribution = node.distribution
    if event.status is not StoreStatus.OK:
        # The pause is that after one failure, however many there were.
        pause = backoff_s(
            min(distribution.store_failures, 1)
        ) * node.rng.uniform(0.5, 1.5)
        distribution.next_take_at = now + pause
        return []
    if event.value is not None or distribution.lease is not None:
        return []
    on_ended = functools.partial(
        _on_lease, key=key, version=event.version, sent=now, on_head=on_head
    )
    return store_call(
        node, actions.KeepStoreLease, on_ended, lease="", ttl_s=LEASE_TTL_S
    )


def _on_lease(node, event, now, *, key: str, version: int, sent, on_head):
    if event.status is not StoreStatus.OK:
        return []
    lease = WatcherLease(event.lease, key, 0, sent, sent)
    return store_call(
        node,
        actions.WriteStoreKey,
        functools.partial(_on_key_taken, lease=lease, on_head=on_head),
        key=key,
        value=node.settings.name,
        version=version,
        lease=event.lease,
    )


def _on_key_taken(node: NodeState, event, now, *, lease, on_head):
    distribution = node.distribution
    # If the reply was lost, the store deletes the key when its lease expires.
    if event.status is not StoreStatus.OK or distribution.lease is not None:
        return []
    lease.key_version = event.version
    distribution.lease = lease
    membership_view.change_own_entry(node, now)
    return [actions.LogEvent("watcher_taken", ()), *watch(node, on_head)]
