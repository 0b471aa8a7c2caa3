"""Executes the node's calls to the configuration store."""

from kumquatspur.core import actions
from kumquatspur.core.events import StoreCallEnded, StoreStatus
from kumquatspur.wire.store_client import (
    StoreClient,
    StoreConflictError,
    StoreUnavailableError,
)


def run_store_call(client: StoreClient, action) -> StoreCallEnded:
    """Executes one call and waits for its result.

    Args:
        client: The client.
        action: A store action of `kumquatspur.core.actions`.

    Returns:
        The event with the result of the call.
    """
    try:
        return _CALLS[type(action)](client, action)
    except StoreConflictError as error:
        return StoreCallEnded(
            action.call_id, StoreStatus.CONFLICT, version=error.version
        )
    except StoreUnavailableError:
        return StoreCallEnded(action.call_id, StoreStatus.UNAVAILABLE)


def _read(client: StoreClient, action: actions.ReadStoreKey):
    stored = client.get(action.key)
    return StoreCallEnded(
        action.call_id, StoreStatus.OK, stored.value, stored.version
    )


def _write(client: StoreClient, action: actions.WriteStoreKey):
    version = client.put(action.key, action.value, action.version, action.lease)
    return StoreCallEnded(action.call_id, StoreStatus.OK, action.value, version)


def _watch(client: StoreClient, action: actions.WatchStoreKey):
    stored = client.watch(action.key, action.version, action.wait_s)
    return StoreCallEnded(
        action.call_id, StoreStatus.OK, stored.value, stored.version
    )


def _keep_lease(client: StoreClient, action: actions.KeepStoreLease):
    lease = client.keep_lease(action.lease, action.ttl_s)
    return StoreCallEnded(action.call_id, StoreStatus.OK, lease=lease)


_CALLS = {
    actions.ReadStoreKey: _read,
    actions.WriteStoreKey: _write,
    actions.WatchStoreKey: _watch,
    actions.KeepStoreLease: _keep_lease,
}

STORE_ACTIONS = tuple(_CALLS)
