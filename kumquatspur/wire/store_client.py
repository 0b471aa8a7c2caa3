"""HTTP client of the platform's configuration store and host list."""

import dataclasses
import json
import logging
from typing import Annotated, TypeVar

import msgspec
import urllib3

from kumquatspur.border.bounded_http import BoundedConnectionPool
from kumquatspur.border.structs import decode_json
from kumquatspur.core.records import Address, Host

_log = logging.getLogger(__name__)

CALL_TIMEOUT_S = 2.0
MAX_PORT = 65535


class _Version(msgspec.Struct):
    version: int


class _Stored(_Version):
    value: str | None


class _Lease(msgspec.Struct):
    lease: str


class _HostRow(msgspec.Struct):
    name: Annotated[str, msgspec.Meta(min_length=1)]
    zone: str
    host: str
    port: Annotated[int, msgspec.Meta(ge=1, le=MAX_PORT)]
    leaving: bool
    role: str


class _HostList(msgspec.Struct):
    hosts: tuple[msgspec.Raw, ...]


ReplyT = TypeVar("ReplyT", bound=msgspec.Struct)


class StoreUnavailableError(Exception):
    """The store did not answer in time, or answered with an error.

    A write that raised this may have taken effect.
    """


class StoreConflictError(Exception):
    """The key of a compare-and-swap is at another version.

    Attributes:
        version: The current version.
    """

    def __init__(self, version: int):
        super().__init__(f"the key is at version {version}")
        self.version = version


@dataclasses.dataclass(frozen=True)
class StoredValue:
    """A value and its version.

    Attributes:
        value: The text; None if the key does not exist.
        version: Incremented by each write of the key; 0 if it does not exist.
    """

    value: str | None
    version: int


class StoreClient:
    """Client of the store's HTTP API."""

    def __init__(self, address: Address):
        self._pool = BoundedConnectionPool(
            address.host, address.port, maxsize=4
        )

    def get(self, key: str) -> StoredValue:
        """Reads a key.

        Raises:
            StoreUnavailableError: The store did not answer.
        """
        reply = self._call("GET", f"/v1/kv/{key}", _Stored)
        return StoredValue(reply.value, reply.version)

    def put(
        self, key: str, value: str | None, version: int, lease: str = ""
    ) -> int:
        """Writes a key if its version is the expected one.

        Args:
            key: The key.
            value: The new value; None to delete the key.
            version: The expected version; 0 to create the key.
            lease: Lease at whose end the key is deleted; "" for none.

        Returns:
            The new version.

        Raises:
            StoreConflictError: The key is at another version.
            StoreUnavailableError: The store did not answer; the write may have
                taken effect.
        """
        body = {"value": value, "version": version, "lease": lease}
        return self._call("PUT", f"/v1/kv/{key}", _Version, body).version

    def watch(self, key: str, version: int, wait_s: float) -> StoredValue:
        """Waits until a key has a newer version than a known one.

        Args:
            key: The key.
            version: The known version.
            wait_s: The longest time to wait, in seconds.

        Returns:
            The current value, changed or not.

        Raises:
            StoreUnavailableError: The store did not answer.
        """
        path = f"/v1/watch/{key}?version={version}&wait_ms={wait_s * 1000:.0f}"
        reply = self._call(
            "GET", path, _Stored, timeout=wait_s + CALL_TIMEOUT_S
        )
        return StoredValue(reply.value, reply.version)

    def keep_lease(self, lease: str, ttl_s: float) -> str:
        """Obtains a lease, or renews one.

        Args:
            lease: The lease to renew; "" to obtain a new one.
            ttl_s: Its time to live, in seconds.

        Returns:
            The lease.

        Raises:
            StoreUnavailableError: The store did not answer, or the lease has
                expired.
        """
        body = {"ttl_ms": int(ttl_s * 1000)}
        return self._call("POST", f"/v1/lease/{lease}", _Lease, body).lease

    def _call(
        self,
        method: str,
        path: str,
        reply_type: type[ReplyT],
        body: dict | None = None,
        timeout: float = CALL_TIMEOUT_S,
    ) -> ReplyT:
        try:
            response = self._pool.urlopen(
                method,
                path,
                body=json.dumps(body) if body is not None else None,
                retries=False,
                timeout=timeout,
            )
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise StoreUnavailableError(str(error)) from error
        if response.status == 409:
            raise StoreConflictError(
                _decode(path, response.data, _Version).version
            )
        if response.status != 200:
            raise StoreUnavailableError(f"status {response.status}")
        return _decode(path, response.data, reply_type)


def _decode(source: str, data: bytes, reply_type: type[ReplyT]) -> ReplyT:
    """Decodes a reply.

    Raises:
        StoreUnavailableError: It is malformed.
    """
    reply, errors = decode_json(source, data, reply_type)
    if reply is None:
        raise StoreUnavailableError(
            "; ".join(f"{e.source}: {e.message}" for e in errors)
        )
    return reply


def read_host_list(address: Address) -> tuple[Host, ...]:
    """Reads the platform's host list.

    Rows that cannot be read are logged and left out.

    Args:
        address: Where the host list is served.

    Returns:
        The hosts.

    Raises:
        StoreUnavailableError: The list could not be read or parsed.
    """
    pool = BoundedConnectionPool(address.host, address.port)
    try:
        response = pool.urlopen(
            "GET", "/v1/hosts", retries=False, timeout=CALL_TIMEOUT_S
        )
        data = response.data
    except (urllib3.exceptions.HTTPError, OSError) as error:
        raise StoreUnavailableError(str(error)) from error
    finally:
        pool.close()
    hosts = []
    for number, row in enumerate(_decode("host list", data, _HostList).hosts):
        source = f"host list: hosts.{number}"
        entry, errors = decode_json(source, row, _HostRow)
        if entry is None:
            _log.warning(
                "host list row unreadable",
                extra={"error": f"{errors[0].source}: {errors[0].message}"},
            )
            continue
        hosts.append(
            Host(
                name=entry.name,
                zone=entry.zone,
                address=Address(entry.host, entry.port),
                leaving=entry.leaving,
                role=entry.role,
            )
        )
    return tuple(hosts)
