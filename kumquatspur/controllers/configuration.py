"""Gets the highest accepted configuration in force on this node.

A few hosts of each availability zone hold a store lease and watch the head
key. All others receive changes from their peers over a tree, ask peers that
are ahead, and read the head key now and then. A lease only limits the calls
to the store: a node puts any newer valid revision in force wherever it comes
from, and never an older one.
"""

import functools

from kumquatspur.border.config_contents import (
    content_matches,
    pack_text,
    unpack_text,
)
from kumquatspur.border.config_head import decode_head
from kumquatspur.controllers import view
from kumquatspur.controllers.blackboard import Blackboard
from kumquatspur.controllers.distribution import (
    Revision,
    WantedRevision,
    apply_changes,
)
from kumquatspur.controllers.watcher import (
    backoff_s,
    note_store_call,
    run_watcher,
    store_call,
    watch,
)
from kumquatspur.core import actions, events, messages
from kumquatspur.core.events import StoreStatus

TICK_S = 0.5
FAST_POLL_S = 1.0
SLOW_POLL_S = 30.0
ASK_S = 0.4
MAX_READS = 16
MAX_DIGESTS_ASKED = 4096
PART_BYTES = 256 * 1024
PUSHED_BYTES = 64 * 1024


def on_configuration(
    board: Blackboard, event: events.ConfigurationReceived, now: float
):
    """Puts a configuration in force if it is newer.

    Args:
        board: The blackboard.
        event: The configuration.
        now: The current time.

    Returns:
        Actions.
    """
    configuration = event.configuration
    if configuration.revision <= board.configuration.revision:
        return []
    state = board.distribution
    wanted, origin = state.wanted, ""
    if wanted is not None and wanted.revision.number <= configuration.revision:
        state.wanted, origin = None, wanted.origin
    revision = Revision(configuration.revision, configuration.files)
    state.put_in_force(revision)
    state.prune_contents()
    board.configuration = configuration
    board.gossip.keep_reports(configuration.searchers.keys())
    fields = (("revision", configuration.revision),)
    in_force = actions.LogEvent("configuration_in_force", fields)
    return [in_force, *_push(board, origin, now)]


def on_configuration_due(
    board: Blackboard, event: events.ConfigurationDue, now: float
):
    """Keeps the watcher's role and looks for newer revisions.

    Args:
        board: The blackboard.
        event: The timer.
        now: The current time.

    Returns:
        Actions.
    """
    delay = TICK_S * board.rng.uniform(0.8, 1.2)
    board.schedule(now + delay, events.ConfigurationDue())
    found = run_watcher(board, _on_head, now)
    if board.distribution.lease is None:
        found += _poll(board, now)
    return found + _catch_up(board, now)


def on_watch_due(board: Blackboard, event: events.WatchDue, now: float):
    """Watches the head key again after a change.

    Args:
        board: The blackboard.
        event: The timer.
        now: The current time.

    Returns:
        Actions.
    """
    return watch(board, _on_head)


def on_update(board: Blackboard, peer: str, message, now: float):
    """Takes a revision or contents from a peer.

    Args:
        board: The blackboard.
        peer: The sender.
        message: The `ConfigurationUpdate`.
        now: The current time.

    Returns:
        Actions.
    """
    state = board.distribution
    member = board.members.get(peer)
    if member is not None:
        member.revision = max(member.revision, message.revision)
    if message.revision > state.newest():
        base = _files_of(state, message.base)
        if base is None:
            return _ask(board, peer, (), now)
        files = apply_changes(base, message.changed)
        state.wanted = WantedRevision(
            Revision(message.revision, files),
            peer,
            _forwarding_origin(board, member, message.origin),
        )
    missing = set(state.missing())
    for digest, packed in message.contents.items():
        if digest in missing and content_matches(packed, digest):
            state.contents[digest] = packed
            state.asked_at = 0.0
    return _advance(board, now)


def _forwarding_origin(board: Blackboard, member, origin: str) -> str:
    """Returns the root of the tree along which an update travels on."""
    if member is None or member.zone == board.settings.zone:
        return origin
    return board.settings.name


def on_request(board: Blackboard, peer: str, message, now: float):
    """Answers a peer that lacks a revision or contents.

    Args:
        board: The blackboard.
        peer: The sender.
        message: The `ConfigurationRequest`.
        now: The current time.

    Returns:
        Actions.
    """
    state = board.distribution
    member = board.members.get(peer)
    if member is None or state.in_force.number <= message.revision:
        return []
    update = _build_update(board, message.revision, message.digests, PART_BYTES)
    return [actions.SendPeer(peer, member.address, update)]


def _files_of(state, number: int):
    known = [Revision(), state.in_force]
    if state.wanted is not None:
        known.append(state.wanted.revision)
    for revision in known:
        if revision.number == number:
            return revision.files
    return None


def _poll(board: Blackboard, now: float):
    state = board.distribution
    watched = view.live_watchers(board, now)
    interval = SLOW_POLL_S if watched else FAST_POLL_S
    interval = max(interval, backoff_s(state.failures))
    if now < state.polled_at + interval * state.poll_share:
        return []
    state.polled_at = now
    state.poll_share = board.rng.uniform(0.5, 1.0)
    key = f"{board.settings.prefix}/head"
    return store_call(board, actions.ReadStoreKey, _on_head_read, key=key)


def _on_head_read(board: Blackboard, event, now: float):
    note_store_call(board, event)
    return _on_head(board, event, now)


def _on_head(board: Blackboard, event: events.StoreCallEnded, now: float):
    """Takes the value of the head key."""
    if event.status is not StoreStatus.OK:
        return []
    state = board.distribution
    state.store_version = event.version
    try:
        head = decode_head(event.value)
    except ValueError as error:
        fields = (("error", str(error)[:200]),)
        return [actions.LogEvent("configuration_head_malformed", fields)]
    if head.revision <= state.newest():
        return []
    revision = Revision(head.revision, head.files)
    state.wanted = WantedRevision(revision, "", board.settings.name)
    return _advance(board, now)


def _catch_up(board: Blackboard, now: float):
    """Repeats what was asked for in vain, and asks peers that are ahead."""
    state = board.distribution
    if state.wanted is not None:
        state.wanted.asks += 1
        return _advance(board, now)
    peer = _pick_peer_at(board, state.newest() + 1, now)
    return _ask(board, peer, (), now) if peer else []


def _advance(board: Blackboard, now: float):
    """Puts the wanted revision in force once its contents are there."""
    state = board.distribution
    if state.wanted is None:
        return []
    missing = state.missing()
    if missing:
        return _fetch(board, missing, now)
    wanted = state.wanted
    if wanted.loaded:
        return []
    configuration, errors = state.loader.load(
        wanted.revision.files,
        lambda digest: unpack_text(state.contents[digest]),
        wanted.revision.number,
    )
    if configuration is not None:
        wanted.loaded = True
        board.schedule(now, events.ConfigurationReceived(configuration))
        return []
    state.wanted = None
    state.rejected = wanted.revision.number
    state.prune_contents()
    fields = (
        ("revision", wanted.revision.number),
        ("errors", [str(error) for error in errors[:10]]),
    )
    return [actions.LogEvent("configuration_rejected", fields)]


def _push(board: Blackboard, origin: str, now: float):
    """Sends the revision in force to this node's children in the tree."""
    children = view.tree_children(board, origin, now)
    if not origin or not children:
        return []
    step = board.distribution.steps[board.configuration.revision]
    update = _build_update(board, step.base, (), PUSHED_BYTES, origin)
    return [
        actions.SendPeer(member.name, member.address, update)
        for member in children
    ]


def _build_update(board, base: int, digests, max_bytes: int, origin=""):
    state = board.distribution
    changed = state.changes_since(base)
    if changed is None:
        base, changed = 0, state.in_force.files
    contents, size = {}, 0
    for digest in digests or sorted({d for d in changed.values() if d}):
        packed = state.contents.get(digest)
        if packed is None:
            continue
        size += len(packed)
        if contents and size > max_bytes:
            break
        contents[digest] = packed
    return messages.ConfigurationUpdate(
        origin=origin,
        base=base,
        revision=state.in_force.number,
        changed=changed,
        contents=contents,
    )


def _fetch(board: Blackboard, missing: list[str], now: float):
    wanted = board.distribution.wanted
    if bool(wanted.source) == (wanted.asks % 3 == 2):
        return _read_contents(board, missing)
    member = board.members.get(wanted.source)
    if wanted.asks or member is None or not board.alive(member, now):
        other = _pick_peer_at(board, wanted.revision.number, now)
        if other is None:
            return _read_contents(board, missing)
        return _ask(board, other, missing, now)
    return _ask(board, wanted.source, missing, now)


def _read_contents(board: Blackboard, missing: list[str]):
    state = board.distribution
    found = []
    for digest in missing:
        if digest in state.reading:
            continue
        if len(state.reading) >= MAX_READS:
            break
        state.reading.add(digest)
        key = f"{board.settings.prefix}/content/{digest}"
        ended = functools.partial(_on_content_read, digest=digest)
        found += store_call(board, actions.ReadStoreKey, ended, key=key)
    return found


def _on_content_read(board: Blackboard, event, now: float, *, digest: str):
    state = board.distribution
    state.reading.discard(digest)
    note_store_call(board, event)
    if event.status is not StoreStatus.OK or event.value is None:
        return []
    packed = pack_text(event.value)
    if digest in state.missing() and content_matches(packed, digest):
        state.contents[digest] = packed
        return _advance(board, now)
    return []


def _ask(board: Blackboard, peer: str, digests, now: float):
    state = board.distribution
    member = board.members.get(peer)
    if member is None or now - state.asked_at < ASK_S:
        return []
    state.asked_at = now
    request = messages.ConfigurationRequest(
        state.in_force.number, tuple(digests[:MAX_DIGESTS_ASKED])
    )
    return [actions.SendPeer(peer, member.address, request)]


def _pick_peer_at(board: Blackboard, number: int, now: float) -> str | None:
    ahead = [
        member.name
        for member in board.members.values()
        if member.revision >= number and board.alive(member, now)
    ]
    return board.rng.choice(sorted(ahead)) if ahead else None
