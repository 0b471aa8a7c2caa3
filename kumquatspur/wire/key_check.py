"""Checks the key of a client account, before each time a request is sent."""

import dataclasses

from kumquatspur.core.routing import ClientRequest, Route
from kumquatspur.platform import headers
from kumquatspur.policy.account_keys import key_digest
from kumquatspur.policy.route_table import RouteTable


def check_key(
    table: RouteTable, request: ClientRequest, route: Route
) -> ClientRequest | None:
    """Checks the key of a request.

    Args:
        table: The routes and keys in force.
        request: The request as received, or as returned by an earlier check
            with another table.
        route: Its route.

    Returns:
        The request with its account and without its key, as it may be sent to
        searchers; None if its route needs a key and it has no valid one.
    """
    keys = table.keys
    if keys is None:
        if request.account is None:
            return request
        return dataclasses.replace(request, account=None)
    account, digest = None, request.key_digest
    if route.needs_key:
        digest = digest or key_digest(request.authorization)
        account = keys.find_account(digest)
        if account is None:
            return None
    return dataclasses.replace(
        request,
        headers=headers.without_authorization(request.headers),
        account=account,
        key_digest=digest,
    )
