"""The `evacuate` command."""

from kumquatspur.core.records import Diagnostic
from kumquatspur.platform import documents
from kumquatspur.platform.store import (
    PlatformStore,
    PlatformStoreError,
    PreconditionFailedError,
)
from kumquatspur.scripts import http_calls
from kumquatspur.scripts.output import print_errors, print_json

FORBIDDEN_STATUS = 403


def run_evacuate(arguments) -> int:
    """Evacuates a zone, ends its evacuation, or lists the evacuated zones.

    Args:
        arguments: An `EvacuateCommand`.

    Returns:
        The exit code.
    """
    address, errors = http_calls.parse_address(arguments.store)
    if address is None:
        print_errors(errors)
        return http_calls.EXIT_BAD_INPUT
    if arguments.undo and not arguments.zone:
        return _fail("--undo", "needs a zone", http_calls.EXIT_BAD_INPUT)
    store = PlatformStore(address)
    try:
        evacuated = _evacuated_zones(store)
        if not arguments.zone:
            return _print_zones(arguments, evacuated)
        return _change(arguments, store, evacuated)
    except PreconditionFailedError:
        return _fail(
            arguments.zone,
            "another operator has just changed it; nothing was written",
            http_calls.EXIT_CONFLICT,
        )
    except PlatformStoreError as error:
        if error.status == FORBIDDEN_STATUS:
            return _fail(
                arguments.store,
                "the store forbids the write (HTTP status 403); nothing was"
                " written",
                http_calls.EXIT_REFUSED,
            )
        return _fail(
            arguments.store,
            f"no usable answer: {error}; a write may have taken effect, so"
            " list the evacuated zones before you repeat it",
            http_calls.EXIT_UNREACHABLE,
        )


def _change(arguments, store: PlatformStore, evacuated: dict[str, int]) -> int:
    """Writes or removes the key of a zone."""
    zone = arguments.zone
    key = documents.EVACUATION_PREFIX + zone
    revision = evacuated.get(zone, 0)
    known = _known_zones(store)
    if zone not in known and not (arguments.undo and revision):
        names = ", ".join(sorted(known)) or "none"
        return _fail(
            zone,
            f"no searcher is registered in this zone; known zones: {names}",
            http_calls.EXIT_BAD_INPUT,
        )
    if arguments.undo:
        if revision:
            store.write([(key, revision)], {}, [key])
            evacuated.pop(zone)
    elif not revision:
        store.write([(key, 0)], {key: b""})
        evacuated[zone] = 0
    return _print_zones(arguments, evacuated)


def _evacuated_zones(store: PlatformStore) -> dict[str, int]:
    """Returns the revision of each evacuated zone's key."""
    view = store.read_all(documents.EVACUATION_PREFIX)
    return {
        documents.evacuated_zone(item.key): item.revision
        for item in view.changes
        if documents.evacuated_zone(item.key)
    }


def _known_zones(store: PlatformStore) -> set[str]:
    """Returns the zones of the registered searchers."""
    view = store.read_all(documents.SEARCHER_PREFIX)
    entries = [
        documents.decode_searcher(item.key, item.value)[0]
        for item in view.changes
    ]
    return {entry.zone for entry in entries if entry is not None}


def _print_zones(arguments, evacuated: dict[str, int]) -> int:
    if arguments.json:
        print_json({"evacuated": sorted(evacuated)})
    else:
        print(f"evacuated zones: {', '.join(sorted(evacuated)) or 'none'}")
    return http_calls.EXIT_OK


def _fail(source: str, message: str, code: int) -> int:
    print_errors([Diagnostic(source, message)])
    return code
