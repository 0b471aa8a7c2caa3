"""Stand-in for the platform's configuration store.

Compare-and-swap, leases and watches over HTTP. Fault switches are set with
POST /fault and read back with GET /fault:

    outage       close connections without an answer
    lose_writes  number of next writes that take effect but whose connection
                 is closed without an answer
    delay_ms     delay of every answer
    rate_limit   calls per second above which calls get status 429; 0 for none

GET /calls returns the number of calls by kind.
"""

import eventlet

eventlet.monkey_patch()

import argparse  # noqa: E402
import itertools  # noqa: E402
import time  # noqa: E402
import urllib.parse  # noqa: E402

from standins.http_helpers import read_json, send_json, serve  # noqa: E402

OK = "200 OK"
POLL_S = 0.02


class Store:
    """The keys, leases and fault switches."""

    def __init__(self):
        self.values = {}
        self.versions = itertools.count(1)
        self.leases = {}
        self.lease_ids = itertools.count(1)
        self.calls = {"reads": 0, "writes": 0, "watches": 0}
        self.current_second = 0
        self.calls_this_second = 0
        self.faults = {
            "outage": False,
            "lose_writes": 0,
            "delay_ms": 0,
            "rate_limit": 0,
        }

    def __call__(self, environ, start_response):
        """Serves one HTTP request."""
        path = environ["PATH_INFO"]
        if path == "/fault":
            if environ["REQUEST_METHOD"] == "POST":
                self.faults.update(read_json(environ))
            return send_json(start_response, OK, self.faults)
        if path == "/calls":
            return send_json(start_response, OK, self.calls)
        if self.faults["outage"]:
            raise ConnectionResetError("outage")
        if self.exceeds_rate_limit():
            return send_json(start_response, "429 Too Many Requests", {})
        eventlet.sleep(self.faults["delay_ms"] / 1000.0)
        self.expire_leases()
        kind, _, key = path.removeprefix("/v1/").partition("/")
        handler = {
            "kv": self.key_value,
            "watch": self.watch,
            "lease": self.lease,
        }.get(kind)
        if handler is None:
            return send_json(start_response, "404 Not Found", {})
        status, body = handler(environ, key)
        if self.faults["outage"]:
            raise ConnectionResetError("outage")
        return send_json(start_response, status, body)

    def exceeds_rate_limit(self):
        """Returns whether this call exceeds the rate limit."""
        limit = self.faults["rate_limit"]
        current_second = int(time.monotonic())
        if current_second != self.current_second:
            self.current_second, self.calls_this_second = current_second, 0
        self.calls_this_second += 1
        return limit and self.calls_this_second > limit

    def read(self, key):
        """Returns a key with its version."""
        value, version, _ = self.values.get(key, (None, 0, ""))
        return {"value": value, "version": version}

    def key_value(self, environ, key):
        """Serves reads and compare-and-swap writes."""
        if environ["REQUEST_METHOD"] == "GET":
            self.calls["reads"] += 1
            return OK, self.read(key)
        self.calls["writes"] += 1
        body = read_json(environ)
        current = self.read(key)["version"]
        if current != body["version"]:
            return "409 Conflict", {"version": current}
        lease = body.get("lease", "")
        if lease and lease not in self.leases:
            return "409 Conflict", {"version": current}
        if body["value"] is None:
            self.values.pop(key, None)
            version = 0
        else:
            version = next(self.versions)
            self.values[key] = (body["value"], version, lease)
        if self.faults["lose_writes"] > 0:
            self.faults["lose_writes"] -= 1
            raise ConnectionResetError(
                "stand-in store: lose_writes fault dropped the answer"
            )
        return OK, {"version": version}

    def watch(self, environ, key):
        """Waits until a key has another version or the wait time ends."""
        self.calls["watches"] += 1
        query = dict(urllib.parse.parse_qsl(environ["QUERY_STRING"]))
        end = time.monotonic() + int(query["wait_ms"]) / 1000.0
        while time.monotonic() < end and not self.faults["outage"]:
            self.expire_leases()
            if self.read(key)["version"] != int(query["version"]):
                break
            eventlet.sleep(POLL_S)
        return OK, self.read(key)

    def lease(self, environ, lease_id):
        """Grants or renews a lease."""
        self.calls["writes"] += 1
        body = read_json(environ)
        if lease_id and lease_id not in self.leases:
            return "404 Not Found", {}
        lease_id = lease_id or f"lease-{next(self.lease_ids)}"
        ttl = body["ttl_ms"] / 1000.0
        self.leases[lease_id] = time.monotonic() + ttl
        return OK, {"lease": lease_id}

    def expire_leases(self):
        """Deletes expired leases and the keys bound to them."""
        now = time.monotonic()
        ended = {name for name, end in self.leases.items() if end < now}
        for name in ended:
            del self.leases[name]
        if ended:
            self.values = {
                key: entry
                for key, entry in self.values.items()
                if entry[2] not in ended
            }


def main():
    """Serves the store until it is killed."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--port", type=int, required=True)
    serve(parser.parse_args().port, Store())
    while True:
        eventlet.sleep(3600)


if __name__ == "__main__":
    main()
