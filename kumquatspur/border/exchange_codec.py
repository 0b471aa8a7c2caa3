"""Messages between entry hosts on the platform: packed msgpack, validated."""

import zlib

import msgpack
import pydantic

# Bytes of a message once it is unpacked.
MAX_UNPACKED_BYTES = 8 * 1024 * 1024
# The fastest level; most of a message is text that repeats itself.
COMPRESSION_LEVEL = 1


class _Model(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(frozen=True, extra="ignore")


class _HostFields(_Model):
    """What hosts know of each other.

    Attributes:
        name: Its name.
        zone: Its availability zone.
        ip: Where it listens for peers.
        port: The port.
        relay_port: Where it takes requests to be scattered; 0 for none.
        link_mbps: Bandwidth of its link.
        cores: Its processor, in cores of the usual speed.
    """

    name: str = pydantic.Field(min_length=1)
    zone: str
    ip: str
    port: int
    relay_port: int = 0
    link_mbps: float = pydantic.Field(gt=0)
    cores: float = pydantic.Field(gt=0)


class KnownHost(_HostFields):
    """A host that the sender has heard of.

    Attributes:
        age_s: How long ago it was heard of.
    """

    age_s: float = pydantic.Field(ge=0)


class CrashIncident(_Model):
    """The loss of a searcher under a content.

    Attributes:
        incident_id: Unique over all entry hosts.
        fingerprint: The content.
        searcher: The searcher lost.
        shard: The shard that the content was to search there.
        alone: Whether no other content was in flight there.
        age_s: How long ago it was noted.
    """

    incident_id: str
    fingerprint: str
    searcher: str
    shard: str
    alone: bool
    age_s: float = pydantic.Field(ge=0)


class SlowSearcher(_Model):
    """A searcher that is slower than usual.

    Attributes:
        searcher: Its identifier.
        slowness: Latency relative to the typical one.
        age_s: How long ago it was measured.
    """

    searcher: str
    slowness: float = pydantic.Field(ge=0)
    age_s: float = pydantic.Field(ge=0)


class StoreItem(_Model):
    """An item of the store.

    Attributes:
        key: Its key.
        revision: Its last change.
        value: Its value; None if it was removed.
    """

    key: str
    revision: int
    value: bytes | None


class Exchange(_HostFields):
    """What one host, the sender, tells another.

    Attributes:
        revision: Revision of its view of the store; 0 if it has none.
        age_s: How long ago that view was current.
        slow: Searchers that it knows to be slow.
        hosts: Hosts that it has heard of.
        incidents: Losses of searchers that count against a content.
        whole: Whether the sender needs all items, whatever its revision.
        items: Its view of the store, without what the receiver has; None if
            the view is not sent.
        kept: Keys of the view's items that the receiver has.
        changes: Changes since the revision that the receiver had; None if
            they are not sent.
    """

    revision: int = pydantic.Field(ge=0)
    age_s: float = pydantic.Field(ge=0)
    slow: tuple[SlowSearcher, ...] = ()
    hosts: tuple[KnownHost, ...] = ()
    incidents: tuple[CrashIncident, ...] = ()
    whole: bool = False
    items: tuple[StoreItem, ...] | None = None
    kept: tuple[str, ...] = ()
    changes: tuple[StoreItem, ...] | None = None


def encode(exchange: Exchange) -> bytes:
    """Encodes a message."""
    return zlib.compress(
        msgpack.packb(exchange.model_dump()), COMPRESSION_LEVEL
    )


def decode(data: bytes) -> Exchange:
    """Decodes a message.

    Args:
        data: The bytes received.

    Raises:
        ValueError: The bytes are no valid message.
    """
    unpacker = zlib.decompressobj()
    try:
        packed = unpacker.decompress(data, MAX_UNPACKED_BYTES)
        if not unpacker.eof:
            raise ValueError("message cut short, or too long")
        return Exchange.model_validate(msgpack.unpackb(packed))
    except (
        zlib.error,
        msgpack.UnpackException,
        pydantic.ValidationError,
    ) as error:
        raise ValueError(str(error)[:200]) from error
