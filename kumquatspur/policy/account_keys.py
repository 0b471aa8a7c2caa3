"""Finds the client account of a request by its key.

Load pattern: each request carries one of up to some 100,000 keys, mostly a
known one, and the lookup is on the path of every request. A misconfigured or
hostile client sends unknown, empty, very long or binary keys at a high rate;
each must cost less than a request that is served. Keys are added and removed
while requests that carry them are under way.

Keys are compared by their SHA-256 digests, so that neither the time of a lookup
nor a record in memory reveals a key.
"""

import dataclasses
import hashlib
from collections.abc import Iterable

from kumquatspur.core.routing import Account

# Longer values are refused without hashing them.
MAX_AUTHORIZATION_BYTES = 4096
_SCHEME = b"bearer "


@dataclasses.dataclass
class AccountKeys:
    """The keys of all accounts of one configuration.

    If several accounts have the same key, it belongs to the first of them. All
    hosts choose alike, and the configuration, which may remove other keys,
    still comes into force.

    Attributes:
        accounts: The accounts in the order of the configuration.
        by_digest: The accounts by the SHA-256 digests of their keys.
        shared: Names of the accounts that have a key of an earlier account.
    """

    accounts: Iterable[Account]
    by_digest: dict[bytes, Account] = dataclasses.field(
        default_factory=dict, repr=False
    )
    shared: list[str] = dataclasses.field(default_factory=list)

    def __post_init__(self):
        for account in self.accounts:
            for digest in account.key_digests:
                owner = self.by_digest.setdefault(digest, account)
                if owner.name != account.name:
                    self.shared.append(account.name)

    def find_account(self, digest: bytes) -> Account | None:
        """Returns the account of a key.

        Args:
            digest: The key's digest as returned by `key_digest`.

        Returns:
            The account; None if no account has the key.
        """
        return self.by_digest.get(digest)


def key_digest(values: tuple[bytes, ...]) -> bytes:
    """Returns the digest of a request's key.

    Args:
        values: The values of the request's Authorization headers.

    Returns:
        The SHA-256 digest; b"" unless there is exactly one value, of the form
        "Bearer KEY".
    """
    if len(values) != 1 or len(values[0]) > MAX_AUTHORIZATION_BYTES:
        return b""
    value = values[0].strip()
    if value[: len(_SCHEME)].lower() != _SCHEME:
        return b""
    return hashlib.sha256(value[len(_SCHEME) :].lstrip()).digest()
