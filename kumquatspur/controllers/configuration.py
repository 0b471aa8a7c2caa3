"""Puts the highest accepted configuration revision in force on this node.

A few hosts of each availability zone have a store lease and watch the head
key. All other hosts receive changes from their peers along a tree, request
revisions from peers that have a newer one, and poll the head key. A lease only
limits the number of calls to the store: a node puts any newer valid revision
in force, whatever its source, and never an older one.
"""

import functools

from kumquatspur.border.config_contents import (
    content_matches,
    pack_text,
    unpack_text,
)
from kumquatspur.border.config_head import decode_head
from kumquatspur.controllers import membership_view
from kumquatspur.controllers.config_distribution import (
    Revision,
    WantedRevision,
    apply_changes,
)
from kumquatspur.controllers.node_state import NodeState
from kumquatspur.controllers.watcher import (
    backoff_s,
    record_store_call,
    run_watcher,
    store_call,
    watch,
)
from kumquatspur.core import actions, events, messages
from kumquatspur.core.events import StoreStatus

# Interval of `on_configuration_due`.
CONFIGURATION_TICK_S = 0.5
# Poll interval of the head key without and with a live watcher in the zone.
FAST_POLL_S = 1.0
SLOW_POLL_S = 30.0
REQUEST_INTERVAL_S = 0.4
MAX_READS_IN_FLIGHT = 16
MAX_CONTENTS_REQUESTED = 4096
MAX_UPDATE_BYTES = 256 * 1024
MAX_PUSH_BYTES = 64 * 1024


def on_configuration(
    node: NodeState, event: events.ConfigurationReceived, now: float
):
    """Puts a configuration in force if it is newer.

    Args:
        node: The state of this node.
        event: The configuration.
        now: The current time.

    Returns:
        Actions.
    """
    configuration = event.configuration
    if configuration.revision <= node.configuration.revision:
        return []
    distribution = node.distribution
    wanted, origin = distribution.wanted, ""
    if wanted is not None and wanted.revision.number <= configuration.revision:
        distribution.wanted, origin = None, wanted.origin
    revision = Revision(configuration.revision, configuration.files)
    distribution.put_in_force(revision)
    distribution.prune_contents()
    node.configuration = configuration
    node.gossip.keep_reports(configuration.searchers.keys())
    fields = (("revision", configuration.revision),)
    in_force = actions.LogEvent("configuration_in_force", fields)
    return [in_force, *_push(node, origin, now)]


def on_configuration_due(
    node: NodeState, event: events.ConfigurationDue, now: float
):
    """Runs the watcher role and looks for newer revisions.

    Args:
        node: The state of this node.
        event: The timer.
        now: The current time.

    Returns:
        Actions.
    """
    delay = CONFIGURATION_TICK_S * node.rng.uniform(0.8, 1.2)
    node.schedule(now + delay, events.ConfigurationDue())
    new_actions = run_watcher(node, _on_head, now)
    if node.distribution.lease is None:
        new_actions += _poll(node, now)
    return new_actions + _request_newer(node, now)


def on_watch_due(node: NodeState, event: events.WatchDue, now: float):
    """Watches the head key again after a change.

    Args:
        node: The state of this node.
        event: The timer.
        now: The current time.

    Returns:
        Actions.
    """
    return watch(node, _on_head)


def on_update(node: NodeState, peer: str, message, now: float):
    """Applies a revision or contents received from a peer.

    Args:
        node: The state of this node.
        peer: The sender.
        message: The `ConfigurationUpdate`.
        now: The current time.

    Returns:
        Actions.
    """
    distribution = node.distribution
    member = node.members.get(peer)
    if member is not None:
        member.revision = max(member.revision, message.revision)
    if message.revision > distribution.newest():
        base = _files_of(distribution, message.base)
        if base is None:
            return _request(node, peer, (), now)
        files = apply_changes(base, message.changed)
        distribution.wanted = WantedRevision(
            Revision(message.revision, files),
            peer,
            _forwarding_origin(node, member, message.origin),
        )
    missing = set(distribution.missing())
    for digest, packed in message.contents.items():
        if digest in missing and content_matches(packed, digest):
            distribution.contents[digest] = packed
            # Allows the next request at once.
            distribution.requested_at = 0.0
    return _advance(node, now)


def _forwarding_origin(node: NodeState, member, origin: str) -> str:
    """Returns the root of the tree along which to propagate an update.

    This node is the root in its own zone if the sender is in another zone.
    """
    if member is None or member.zone == node.settings.zone:
        return origin
    return node.settings.name


def on_request(node: NodeState, peer: str, message, now: float):
    """Replies to a peer that lacks a revision or contents.

    Args:
        node: The state of this node.
        peer: The sender.
        message: The `ConfigurationRequest`.
        now: The current time.

    Returns:
        Actions.
    """
    distribution = node.distribution
    member = node.members.get(peer)
    if member is None or distribution.in_force.number <= message.revision:
        return []
    update = _build_update(
        node, message.revision, message.digests, MAX_UPDATE_BYTES
    )
    return [actions.SendPeer(peer, member.address, update)]


def _files_of(distribution, number: int):
    known = [Revision(), distribution.in_force]
    if distribution.wanted is not None:
        known.append(distribution.wanted.revision)
    for revision in known:
        if revision.number == number:
            return revision.files
    return None


def _poll(node: NodeState, now: float):
    distribution = node.distribution
    watched = membership_view.live_watchers(node, now)
    interval = SLOW_POLL_S if watched else FAST_POLL_S
    interval = max(interval, backoff_s(distribution.store_failures))
    if now < distribution.polled_at + interval * distribution.poll_share:
        return []
    distribution.polled_at = now
    distribution.poll_share = node.rng.uniform(0.5, 1.0)
    key = f"{node.settings.prefix}/head"
    return store_call(node, actions.ReadStoreKey, _on_head_read, key=key)


def _on_head_read(node: NodeState, event, now: float):
    record_store_call(node, event)
    return _on_head(node, event, now)


def _on_head(node: NodeState, event: events.StoreCallEnded, now: float):
    """Handles a value of the head key: fetches the revision if it is newer."""
    if event.status is not StoreStatus.OK:
        return []
    distribution = node.distribution
    distribution.head_version = event.version
    try:
        head = decode_head(event.value)
    except ValueError as error:
        fields = (("error", str(error)[:200]),)
        return [actions.LogEvent("configuration_head_malformed", fields)]
    if head.revision <= distribution.newest():
        return []
    revision = Revision(head.revision, head.files)
    distribution.wanted = WantedRevision(revision, "", node.settings.name)
    return _advance(node, now)


def _request_newer(node: NodeState, now: float):
    """Repeats an unanswered request, or requests a newer revision."""
    distribution = node.distribution
    if distribution.wanted is not None:
        distribution.wanted.wait_ticks += 1
        return _advance(node, now)
    peer = _pick_peer_at(node, distribution.newest() + 1, now)
    return _request(node, peer, (), now) if peer else []


def _advance(node: NodeState, now: float):
    """Puts the wanted revision in force once all its contents are stored.

    Missing contents are requested. An invalid revision is rejected.
    """
    distribution = node.distribution
    if distribution.wanted is None:
        return []
    missing = distribution.missing()
    if missing:
        return _fetch(node, missing, now)
    wanted = distribution.wanted
    if wanted.loaded:
        return []
    configuration, errors = distribution.loader.load(
        wanted.revision.files,
        lambda digest: unpack_text(distribution.contents[digest]),
        wanted.revision.number,
    )
    if configuration is not None:
        wanted.loaded = True
        node.schedule(now, events.ConfigurationReceived(configuration))
        return []
    distribution.wanted = None
    distribution.rejected_number = wanted.revision.number
    distribution.prune_contents()
    fields = (
        ("revision", wanted.revision.number),
        ("errors", [str(error) for error in errors[:10]]),
    )
    return [actions.LogEvent("configuration_rejected", fields)]


def _push(node: NodeState, origin: str, now: float):
    """Sends the revision in force to this node's children in the tree."""
    children = membership_view.tree_children(node, origin, now)
    if not origin or not children:
        return []
    delta = node.distribution.deltas[node.configuration.revision]
    update = _build_update(node, delta.base, (), MAX_PUSH_BYTES, origin)
    return [
        actions.SendPeer(member.name, member.address, update)
        for member in children
    ]


def _build_update(node, base: int, digests, max_bytes: int, origin=""):
    """Builds an update from a revision to the one in force.

    Args:
        node: The state of this node.
        base: Number of the revision that the receiver has.
        digests: Content hashes to include; if empty, those of changed files.
        max_bytes: Limit of the included contents. The first is always included.
        origin: The root of the tree along which to propagate the update.

    Returns:
        The `ConfigurationUpdate`.
    """
    distribution = node.distribution
    changed = distribution.changes_since(base)
    if changed is None:
        base, changed = 0, distribution.in_force.files
    contents, size = {}, 0
    for digest in digests or sorted({d for d in changed.values() if d}):
        packed = distribution.contents.get(digest)
        if packed is None:
            continue
        size += len(packed)
        if contents and size > max_bytes:
            break
        contents[digest] = packed
    return messages.ConfigurationUpdate(
        origin=origin,
        base=base,
        revision=distribution.in_force.number,
        changed=changed,
        contents=contents,
    )


def _fetch(node: NodeState, missing: list[str], now: float):
    """Requests missing contents from a peer, or reads them from the store.

    Contents of a revision that a peer announced are read from the store at
    every third tick; those of one found in the store are requested from a peer
    at every third tick.
    """
    wanted = node.distribution.wanted
    if bool(wanted.source) == (wanted.wait_ticks % 3 == 2):
        return _read_contents(node, missing)
    member = node.members.get(wanted.source)
    if wanted.wait_ticks or member is None or not node.is_live(member, now):
        other = _pick_peer_at(node, wanted.revision.number, now)
        if other is None:
            return _read_contents(node, missing)
        return _request(node, other, missing, now)
    return _request(node, wanted.source, missing, now)


def _read_contents(node: NodeState, missing: list[str]):
    distribution = node.distribution
    new_actions = []
    for digest in missing:
        if digest in distribution.reads_in_flight:
            continue
        if len(distribution.reads_in_flight) >= MAX_READS_IN_FLIGHT:
            break
        distribution.reads_in_flight.add(digest)
        key = f"{node.settings.prefix}/content/{digest}"
        on_ended = functools.partial(_on_content_read, digest=digest)
        new_actions += store_call(node, actions.ReadStoreKey, on_ended, key=key)
    return new_actions


def _on_content_read(node: NodeState, event, now: float, *, digest: str):
    distribution = node.distribution
    distribution.reads_in_flight.discard(digest)
    record_store_call(node, event)
    if event.status is not StoreStatus.OK or event.value is None:
        return []
    packed = pack_text(event.value)
    if digest in distribution.missing() and content_matches(packed, digest):
        distribution.contents[digest] = packed
        return _advance(node, now)
    return []


def _request(node: NodeState, peer: str, digests, now: float):
    distribution = node.distribution
    member = node.members.get(peer)
    if member is None or now - distribution.requested_at < REQUEST_INTERVAL_S:
        return []
    distribution.requested_at = now
    request = messages.ConfigurationRequest(
        distribution.in_force.number, tuple(digests[:MAX_CONTENTS_REQUESTED])
    )
    return [actions.SendPeer(peer, member.address, request)]


def _pick_peer_at(node: NodeState, number: int, now: float) -> str | None:
    ahead = [
        member.name
        for member in node.members.values()
        if member.revision >= number and node.is_live(member, now)
    ]
    return node.rng.choice(sorted(ahead)) if ahead else None
