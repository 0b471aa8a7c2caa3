"""Calls of other entry hosts over HTTP."""

import urllib3

from kumquatspur.border.bounded_http import bounded_pool_manager
from kumquatspur.core.records import Address

CALL_TIMEOUT_S = 0.5
# A host may follow another host, exchange with it and ask it for shares of
# limits at the same time.
MAX_CONNECTIONS_PER_PEER = 3
MAX_POOLS = 16


class PeerCallError(OSError):
    """Another host gave no usable answer."""


class PeerCalls:
    """Sends messages to other entry hosts."""

    def __init__(self):
        self._pool = bounded_pool_manager(
            num_pools=MAX_POOLS, maxsize=MAX_CONNECTIONS_PER_PEER, retries=False
        )

    def call(
        self,
        address: Address,
        path: str,
        data: bytes,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> bytes:
        """Sends a message and returns the answer.

        Args:
            address: Where the host listens for peers.
            path: Path that names the kind of the message.
            data: The message.
            timeout_s: The longest time to wait, in seconds.

        Raises:
            PeerCallError: There was no answer, or a refusal.
        """
        try:
            response = self._pool.request(
                "POST",
                f"http://{address.host}:{address.port}{path}",
                body=data,
                timeout=timeout_s,
            )
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise PeerCallError(str(error)) from error
        if response.status != 200:
            raise PeerCallError(f"HTTP status {response.status} from {path}")
        return response.data
