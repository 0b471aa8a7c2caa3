"""Listens for clients while the rest of the program still loads.

Load pattern: all hosts lost power and start again at the same moment. Loading
takes most of the time until the first answer, and in this time each client is
refused by all hosts until it gives up. If no other host takes connections, this
host does so early: the requests wait in the kernel and are answered as soon as
the program has loaded. If others do, a refusal sends clients there at once.

Only modules that load fast are imported here, and none of eventlet's.
"""

import json
import select
import socket
import time

LISTEN_BACKLOG = 1024
# A host that runs accepts or refuses a connection within this time.
PEER_TIMEOUT_S = 0.02


def open_early_listener(path: str) -> socket.socket | None:
    """Returns a listening socket for clients, if no other host serves them.

    Mistakes in the settings are reported when the settings are read in full.

    Args:
        path: Path of the settings file.

    Returns:
        The socket; None if another host accepts connections, or if the address
        is not known or cannot be used.
    """
    try:
        with open(path, encoding="utf-8") as file:
            settings = json.load(file)
        seeds = settings.get("seeds") or []
        others = [_parse(text) for text in seeds if text != settings["peer"]]
        if any_accepts(others, PEER_TIMEOUT_S):
            return None
        return _listen(_parse(settings["front"]))
    except (OSError, ValueError, KeyError, TypeError, AttributeError):
        return None


def any_accepts(addresses: list[tuple[str, int]], timeout_s: float) -> bool:
    """Returns whether a connection to any of the addresses can be opened.

    Args:
        addresses: Pairs of host and port.
        timeout_s: The longest time to wait, in seconds.
    """
    end = time.monotonic() + timeout_s
    pending = set()
    try:
        for address in addresses:
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            pending.add(sock)
            sock.setblocking(False)
            sock.connect_ex(address)
        while pending and (left_s := end - time.monotonic()) > 0:
            for sock in select.select((), pending, (), left_s)[1]:
                error = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
                if not error:
                    return True
                pending.remove(sock)
                sock.close()
        return False
    finally:
        for sock in pending:
            sock.close()


def _parse(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    return host, int(port)


def _listen(address: tuple[str, int]) -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(address)
        sock.listen(LISTEN_BACKLOG)
    except OSError:
        sock.close()
        raise
    return sock
