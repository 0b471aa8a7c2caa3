"""Stand-in for searchers: many in one process, each on its own port.

Each executes items in its slots and records the items. POST /fault on a
searcher's port sets its fault switches:

    slow_factor     multiplies the service time
    down            break connections without an answer (also after a crash)
    draining        report draining and decline all items
    shed            share of requests whose items are all declined as not run
    frozen          accept requests and never answer
    silent          connections open now never answer; new connections work
    reported_load   load to report instead of the real one
    crash_on        text; a query that contains it crashes the searcher
    restart_ms      time from a crash to the restart
    cold_ms         time after a restart during which items take longer
    held            the snapshots that it holds
    restart_cold_ms restart now, with this cold_ms

GET /executed returns the items executed and GET /counts only their number. The
specification of a searcher may add `request_ms`, a cost for each request
besides its items, and `record` false, with which the items are counted but not
recorded.
"""

import eventlet

eventlet.monkey_patch()

import argparse  # noqa: E402
import json  # noqa: E402
import pathlib  # noqa: E402
import random  # noqa: E402
import socket  # noqa: E402
import time  # noqa: E402

from eventlet import hubs  # noqa: E402

from standins.http_helpers import read_json, send_json, serve  # noqa: E402

OK = "200 OK"
UNAVAILABLE = "503 Service Unavailable"
COLD_SLOWDOWN = 5.0
FOREVER_S = 3600.0


class ClientDisconnectedError(Exception):
    """The client closed its connection, which cancels the request."""


class LimitedPool(eventlet.GreenPool):
    """Pool of connections that closes connections above a limit.

    Attributes:
        limit: The largest number of open connections.
        refused: Number of connections closed because of the limit.
        peak: The largest number of connections open at once.
    """

    def __init__(self, size):
        super().__init__(size + 1)
        self.limit = size
        self.refused = 0
        self.peak = 0

    def spawn(self, function, connection):
        """Serves a connection, or closes it."""
        if self.running() >= self.limit:
            self.refused += 1
            return super().spawn(connection[1].close)
        self.peak = max(self.peak, self.running() + 1)
        return super().spawn(function, connection)


class Searcher:
    """One searcher.

    Attributes:
        spec: Its description: name, port, slots, connections, shards, held,
            service_ms.
        executed: Item id and query of every item executed, in order.
        counts: Number of items and requests executed.
        cancelled: Item id of every item not executed because its client
            disconnected.
        pool: Serves its connections.
        waiting: Number of requests that run or wait for a slot.
        restarted_at: Monotonic time of the last restart, in seconds; 0.0
            before the first one.
        clients: Sockets of the requests in progress.
        faults: The fault switches.
    """

    def __init__(self, spec):
        self.spec = spec
        self.rng = random.Random(spec["name"])
        self.slots = eventlet.semaphore.Semaphore(spec["slots"])
        self.executed = []
        self.counts = {"items": 0, "requests": 0}
        self.cancelled = []
        self.pool = LimitedPool(spec["connections"])
        self.waiting = 0
        self.restarted_at = 0.0
        self.unresponsive_connections = set()
        self.open_connections = set()
        self.clients = set()
        self.listener = None
        self.faults = {
            "slow_factor": 1.0,
            "down": False,
            "draining": False,
            "shed": 0.0,
            "frozen": False,
            "silent": False,
            "reported_load": None,
            "crash_on": "",
            "restart_ms": 1000,
            "cold_ms": 0,
            "held": spec["held"],
        }

    def start(self):
        """Starts listening."""
        self.listener = serve(self.spec["port"], self, self.pool)

    def __call__(self, environ, start_response):
        """Serves one HTTP request."""
        path = environ["PATH_INFO"]
        connection = (environ["REMOTE_ADDR"], environ["REMOTE_PORT"])
        self.open_connections.add(connection)
        if path == "/fault":
            self.set_faults(read_json(environ))
            return send_json(start_response, OK, self.faults)
        if path == "/executed":
            return send_json(start_response, OK, self.execution_report())
        if path == "/counts":
            return send_json(start_response, OK, self.counts)
        client = environ["eventlet.input"].get_socket()
        if self.faults["down"]:
            client.shutdown(socket.SHUT_RDWR)
            raise ConnectionResetError("stand-in searcher: down fault is set")
        if self.faults["frozen"] or connection in self.unresponsive_connections:
            eventlet.sleep(FOREVER_S)
        if path == "/v1/status":
            return send_json(start_response, OK, self.status())
        self.clients.add(client)
        try:
            return self.search(environ, start_response, client)
        finally:
            self.clients.discard(client)

    def set_faults(self, faults):
        """Sets fault switches."""
        self.faults.update(faults)
        if cold_ms := self.faults.pop("restart_cold_ms", 0):
            self.faults["cold_ms"] = cold_ms
            self.restart()
        if self.faults["silent"]:
            self.unresponsive_connections |= self.open_connections
            self.faults["silent"] = False

    def status(self):
        """Returns the searcher's status report."""
        reported = self.faults["reported_load"]
        return {
            "held": self.faults["held"],
            "draining": self.faults["draining"],
            "load": self.waiting if reported is None else reported,
        }

    def search(self, environ, start_response, client):
        """Executes the items of a request in one slot."""
        body = read_json(environ)
        if self.faults["draining"] or self.rng.random() < self.faults["shed"]:
            items = [
                {"item_id": item["item_id"], "status": "not_run"}
                for item in body["items"]
            ]
            reply = {"items": items, **self.status()}
            return send_json(start_response, OK, reply)
        received = time.monotonic()
        done = []
        self.waiting += 1
        try:
            self.acquire_slot(client)
            self.counts["requests"] += 1
            try:
                if self.spec.get("request_ms"):
                    sleep_unless_disconnected(client, self.request_s())
                for item in body["items"]:
                    done.append(self.execute(item, received, client))
            finally:
                self.slots.release()
        except ClientDisconnectedError:
            rest = body["items"][len(done) :]
            self.cancelled += [item["item_id"] for item in rest]
            raise
        finally:
            self.waiting -= 1
        return send_json(start_response, OK, {"items": done, **self.status()})

    def acquire_slot(self, client):
        """Waits for a slot.

        Raises:
            ClientDisconnectedError: The client disconnected during the wait.
        """
        self.slots.acquire()
        if is_disconnected(client):
            self.slots.release()
            raise ClientDisconnectedError

    def execute(self, item, received, client):
        """Executes one item and records it."""
        age_ms = (time.monotonic() - received) * 1000.0
        if age_ms >= item["deadline_ms"]:
            return {"item_id": item["item_id"], "status": "not_run"}
        if item["snapshot"] not in self.faults["held"]:
            return {"item_id": item["item_id"], "status": "snapshot_not_held"}
        text = json.dumps(item["query"])
        self.counts["items"] += 1
        if self.spec.get("record", True):
            self.executed.append({"item_id": item["item_id"], "query": text})
        if self.faults["crash_on"] and self.faults["crash_on"] in text:
            self.crash()
        sleep_unless_disconnected(client, self.service_s())
        return {
            "item_id": item["item_id"],
            "status": "ok",
            "shard": item["shard"],
            "snapshot": item["snapshot"],
            "hits": self.hits(item, text),
        }

    def execution_report(self):
        """Returns the executed and cancelled items, and connection counts."""
        return {
            "items": self.executed,
            "stopped": self.cancelled,
            "refused_connections": self.pool.refused,
            "most_connections": self.pool.peak,
        }

    def request_s(self):
        """Returns the cost of a request besides its items, in seconds."""
        seconds = self.spec["request_ms"] / 1000.0
        return seconds * self.faults["slow_factor"]

    def service_s(self):
        """Returns the service time of one item, in seconds."""
        seconds = self.spec["service_ms"] / 1000.0
        seconds *= self.faults["slow_factor"]
        age_ms = (time.monotonic() - self.restarted_at) * 1000.0
        if self.restarted_at and age_ms < self.faults["cold_ms"]:
            seconds *= COLD_SLOWDOWN
        return seconds * self.rng.uniform(0.7, 1.3)

    def hits(self, item, text):
        """Returns pseudo-random hits, seeded by shard, snapshot and query."""
        shard, snapshot = item["shard"], item["snapshot"]
        rng = random.Random(f"{shard} {snapshot} {text}")
        scores = sorted((rng.random() for _ in range(3)), reverse=True)
        return [
            {
                "key": f"{shard}#{index}",
                "score": round(score, 6),
                "fields": {"snapshot": snapshot},
            }
            for index, score in enumerate(scores[: item["limit"]])
        ]

    def crash(self):
        """Breaks all connections and refuses new ones until the restart."""
        self.faults["down"] = True
        for client in self.clients:
            client.shutdown(socket.SHUT_RDWR)
        # Stops the WSGI server, which closes its idle connections.
        self.listener.shutdown(socket.SHUT_RDWR)
        eventlet.spawn_after(self.faults["restart_ms"] / 1000.0, self.restart)
        raise ConnectionResetError("stand-in searcher: crashed on a query")

    def restart(self):
        """Starts again after a crash; items take longer for `cold_ms`."""
        self.restarted_at = time.monotonic()
        self.faults["down"] = False
        self.start()


def sleep_unless_disconnected(client, seconds):
    """Sleeps, unless the client closes its connection.

    Raises:
        ClientDisconnectedError: The client closed the connection.
    """
    try:
        hubs.trampoline(
            client, read=True, timeout=seconds, timeout_exc=TimeoutError
        )
    except TimeoutError:
        return
    if is_disconnected(client):
        raise ClientDisconnectedError
    eventlet.sleep(seconds)


def is_disconnected(client) -> bool:
    """Returns whether the client has closed its connection."""
    try:
        return not client.fd.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return False
    except OSError:
        return True


def main():
    """Serves searchers until the process is killed."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--spec", required=True, help="JSON file")
    text = pathlib.Path(parser.parse_args().spec).read_text(encoding="utf-8")
    for spec in json.loads(text)["searchers"]:
        Searcher(spec).start()
    while True:
        eventlet.sleep(FOREVER_S)


if __name__ == "__main__":
    main()
