"""Stand-in for the platform's host list.

GET /v1/hosts returns the list. POST /hosts replaces it; readers see the new
list only after `lag_ms`. POST /fault sets `lag_ms` and `outage` (close
connections without an answer).
"""

import eventlet

eventlet.monkey_patch()

import argparse  # noqa: E402
import json  # noqa: E402
import pathlib  # noqa: E402
import time  # noqa: E402

from standins.http_helpers import read_json, send_json, serve  # noqa: E402


class HostList:
    """The list, its pending replacements and the fault switches."""

    def __init__(self, hosts):
        self.hosts = hosts
        self.pending = []
        self.faults = {"outage": False, "lag_ms": 0}

    def __call__(self, environ, start_response):
        """Serves one HTTP request."""
        path = environ["PATH_INFO"]
        if path == "/fault":
            self.faults.update(read_json(environ))
        elif path == "/hosts":
            visible = time.monotonic() + self.faults["lag_ms"] / 1000.0
            self.pending.append((visible, read_json(environ)["hosts"]))
        elif self.faults["outage"]:
            raise ConnectionResetError("host list: outage fault is set")
        while self.pending and self.pending[0][0] <= time.monotonic():
            self.hosts = self.pending.pop(0)[1]
        return send_json(start_response, "200 OK", {"hosts": self.hosts})


def main():
    """Serves the host list until it is killed."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--hosts", required=True, help="JSON file")
    arguments = parser.parse_args()
    text = pathlib.Path(arguments.hosts).read_text(encoding="utf-8")
    serve(arguments.port, HostList(json.loads(text)["hosts"]))
    while True:
        eventlet.sleep(3600)


if __name__ == "__main__":
    main()
