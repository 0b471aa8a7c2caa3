"""Open-loop load generator with seeded Poisson arrivals, as a process.

Latency is measured from the intended send time, so that stalls of the system or
the generator are not hidden (coordinated omission).
"""

import eventlet

eventlet.monkey_patch()

import argparse  # noqa: E402
import collections  # noqa: E402
import itertools  # noqa: E402
import json  # noqa: E402
import pathlib  # noqa: E402
import random  # noqa: E402
import time  # noqa: E402

import urllib3  # noqa: E402

from bench.arrivals import BIN_S, arrivals, new_histogram  # noqa: E402

CLIENT_TIMEOUT_MARGIN_S = 1.5
# Network and scheduling delay allowed for an answer that counts as on time.
ON_TIME_MARGIN_S = 0.010
POOL_CONNECTIONS = 64


class LoadGenerator:
    """Sends queries and records their outcomes.

    Attributes:
        spec: Seed, start time, phases, targets and query.
        histogram: Latencies of answers, in microseconds.
        counts: Outcomes of the queries.
        bins: Number of shards answered on time, by `BIN_S` interval of the
            intended send time.
    """

    def __init__(self, spec: dict):
        self.spec = spec
        self.histogram = new_histogram()
        self.counts = collections.Counter()
        self.bins = collections.Counter()
        self._pools = [
            urllib3.HTTPConnectionPool(
                host, port, maxsize=POOL_CONNECTIONS, retries=False
            )
            for host, port in spec["targets"]
        ]
        self._timeout_s = spec["deadline_ms"] / 1000.0 + CLIENT_TIMEOUT_MARGIN_S

    def run(self) -> None:
        """Sends all queries and waits until all have ended."""
        rng = random.Random(self.spec["seed"])
        threads = eventlet.GreenPool(size=4096)
        pools = itertools.cycle(range(len(self._pools)))
        for number, offset in enumerate(arrivals(rng, self.spec["phases"])):
            due = self.spec["start_at"] + offset
            eventlet.sleep(max(0.0, due - time.monotonic()))
            threads.spawn_n(self._query, number, offset, next(pools))
        threads.waitall()

    def result(self) -> dict:
        """Returns all measurements as a JSON value."""
        return {
            "histogram": self.histogram.encode().decode(),
            "counts": dict(self.counts),
            "bins": {str(key): value for key, value in self.bins.items()},
        }

    def _query(self, number: int, offset: float, pool: int) -> None:
        text = f"{self.spec['seed']}-{number}"
        body = json.dumps({**self.spec["body"], "query": {"text": text}})
        response = self._send(body.encode(), pool)
        latency_s = time.monotonic() - self.spec["start_at"] - offset
        self.counts["sent"] += 1
        self._record(response, offset, latency_s)

    def _send(self, body: bytes, pool: int):
        for step in range(len(self._pools)):
            index = (pool + step) % len(self._pools)
            try:
                return self._pools[index].urlopen(
                    "POST",
                    "/v1/query",
                    body=body,
                    headers={"Content-Type": "application/json"},
                    timeout=self._timeout_s,
                )
            except urllib3.exceptions.NewConnectionError:
                # The platform's load balancer also tries the next host when a
                # host is unreachable.
                self.counts["redirected"] += 1
            except (urllib3.exceptions.HTTPError, OSError):
                return None
        return None

    def _record(self, response, offset: float, latency_s: float) -> None:
        measured = offset >= self.spec["warmup_s"]
        if response is None or response.status != 200:
            kind = "failed" if response is None else "refused"
            # All such queries, also those of the warm-up.
            self.counts["executed_" + kind] += 1
            self.counts[kind] += measured
            if kind == "refused" and measured:
                self.counts["refused_us"] += int(latency_s * 1e6)
            return
        coverage = json.loads(response.data)["coverage"]
        covered = len(coverage["covered"])
        self.counts["covered_items"] += covered
        on_time = self.spec["deadline_ms"] / 1000.0 + ON_TIME_MARGIN_S
        if latency_s <= on_time:
            self.bins[int(offset / BIN_S)] += covered
        if not measured:
            return
        self.histogram.record_value(int(latency_s * 1e6))
        self.counts["answered"] += 1
        self.counts["full"] += coverage["full"]
        self.counts["late"] += latency_s > on_time
        self.counts["coverage_ppm"] += int(coverage["share"] * 1e6)


def main() -> None:
    """Runs one generator with the specification in a JSON file."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--spec", required=True)
    parser.add_argument("--out", required=True)
    arguments = parser.parse_args()
    text = pathlib.Path(arguments.spec).read_text(encoding="utf-8")
    generator = LoadGenerator(json.loads(text))
    generator.run()
    out = pathlib.Path(arguments.out)
    out.write_text(json.dumps(generator.result()), encoding="utf-8")


if __name__ == "__main__":
    main()
