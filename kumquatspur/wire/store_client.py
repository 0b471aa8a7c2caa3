"""HTTP client of the platform's configuration store and host list."""

import dataclasses
import json

import urllib3

from kumquatspur.core.records import Address, Host

CALL_TIMEOUT_S = 2.0


class StoreUnavailableError(Exception):
    """The store did not answer, or not in time.

    A write that raised this may have taken effect.
    """


class StoreConflictError(Exception):
    """A compare-and-swap found another version.

    Attributes:
        version: The version found.
    """

    def __init__(self, version: int):
        super().__init__(f"the key is at version {version}")
        self.version = version


@dataclasses.dataclass(frozen=True)
class StoredValue:
    """A value and its version.

    Attributes:
        value: The text; None if the key does not exist.
        version: Grows with each write of the key; 0 if it does not exist.
    """

    value: str | None
    version: int


class StoreClient:
    """Calls the store."""

    def __init__(self, address: Address):
        self._pool = urllib3.HTTPConnectionPool(
            address.host, address.port, maxsize=4
        )

    def get(self, key: str) -> StoredValue:
        """Reads a key.

        Raises:
            StoreUnavailableError: No answer.
        """
        reply = self._call("GET", f"/v1/kv/{key}")
        return StoredValue(reply["value"], reply["version"])

    def put(
        self, key: str, value: str | None, version: int, lease: str = ""
    ) -> int:
        """Writes a key if it is at a version.

        Args:
            key: The key.
            value: The new value; None to delete the key.
            version: The version expected; 0 to create it.
            lease: Lease with which the key is deleted.

        Returns:
            The new version.

        Raises:
            StoreConflictError: The key is at another version.
            StoreUnavailableError: No answer; the write may have taken effect.
        """
        body = {"value": value, "version": version, "lease": lease}
        return self._call("PUT", f"/v1/kv/{key}", body)["version"]

    def watch(self, key: str, version: int, wait_s: float) -> StoredValue:
        """Waits until a key is past a version.

        Args:
            key: The key.
            version: The version known.
            wait_s: The longest time to wait, in seconds.

        Returns:
            The value, changed or not.

        Raises:
            StoreUnavailableError: No answer.
        """
        path = f"/v1/watch/{key}?version={version}&wait_ms={wait_s * 1000:.0f}"
        reply = self._call("GET", path, timeout=wait_s + CALL_TIMEOUT_S)
        return StoredValue(reply["value"], reply["version"])

    def keep_lease(self, lease: str, ttl_s: float) -> str:
        """Obtains a lease, or renews one.

        Args:
            lease: The lease to renew; "" to obtain a new one.
            ttl_s: Its time to live, in seconds.

        Returns:
            The lease.

        Raises:
            StoreUnavailableError: No answer, or the lease has ended.
        """
        body = {"ttl_ms": int(ttl_s * 1000)}
        return self._call("POST", f"/v1/lease/{lease}", body)["lease"]

    def _call(self, method, path, body=None, timeout=CALL_TIMEOUT_S) -> dict:
        try:
            response = self._pool.urlopen(
                method,
                path,
                body=json.dumps(body) if body is not None else None,
                retries=False,
                timeout=timeout,
            )
            reply = json.loads(response.data)
        except (urllib3.exceptions.HTTPError, OSError, ValueError) as error:
            raise StoreUnavailableError(str(error)) from error
        if response.status == 409:
            raise StoreConflictError(reply["version"])
        if response.status != 200:
            raise StoreUnavailableError(f"status {response.status}")
        return reply


def read_host_list(address: Address) -> tuple[Host, ...]:
    """Reads the platform's host list.

    Args:
        address: Where the host list is served.

    Returns:
        The hosts.

    Raises:
        StoreUnavailableError: No answer.
    """
    pool = urllib3.HTTPConnectionPool(address.host, address.port)
    try:
        response = pool.urlopen(
            "GET", "/v1/hosts", retries=False, timeout=CALL_TIMEOUT_S
        )
        reply = json.loads(response.data)
        return tuple(
            Host(
                name=entry["name"],
                zone=entry["zone"],
                address=Address(entry["host"], entry["port"]),
                leaving=entry["leaving"],
                role=entry["role"],
            )
            for entry in reply["hosts"]
        )
    except (
        urllib3.exceptions.HTTPError,
        OSError,
        ValueError,
        KeyError,
        TypeError,
    ) as error:
        raise StoreUnavailableError(str(error)) from error
    finally:
        pool.close()
