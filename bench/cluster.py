"""Runs the daemons of all designs over the same stand-in searchers."""

import dataclasses
import json
import os
import pathlib
import time

import urllib3

from kumquatspur.core.records import Address
from kumquatspur.wire.config_store import ConfigStore
from kumquatspur.wire.store_client import StoreClient
from standins.deployment import Deployment, find_free_base_port
from standins.shapes import HOST, SHAPES, Shape, daemon_settings, searcher_specs

# Designs of `kumquatspur.controllers.designs`: "owner" is the product, the
# others are baselines in which every entry host calls every searcher itself.
DESIGNS = ("owner", "two_choices", "direct")
SEARCHER_PROCESSES = 6
PORTS = 260
PORTS_PER_DESIGN = 30
# Each host of a baseline design probes every searcher, so the interval is ten
# times longer.
BASELINE_PROBE_S = 5.0
WARM_UP_QUERIES = 2
CONTROL_CONNECTIONS = 10
CALL_ATTEMPTS = 4
CALL_PAUSE_S = 0.1
NO_FAULTS = {
    "slow_factor": 1.0,
    "down": False,
    "shed": 0.0,
    "frozen": False,
    "reported_load": None,
    "cold_ms": 0,
    "held": [1],
}


def scaled_shape(name: str, options, base_port: int = 0) -> Shape:
    """Returns a reference deployment with the benchmark's deadline."""
    shape = SHAPES[name]
    return dataclasses.replace(
        shape,
        base_port=base_port or shape.base_port,
        profile={**shape.profile, "deadline_ms": options.deadline_ms},
    )


class Cluster(Deployment):
    """One set of daemons per design, one store, shared searchers.

    Attributes:
        options: The command's options.
        service: The service under load.
        searchers: Configuration of the service's searchers by name.
        exited_cpu_s: CPU seconds of daemons that were killed, by design.
    """

    def __init__(self, shape: str, folder: pathlib.Path, options):
        folder.mkdir(parents=True, exist_ok=True)
        base = find_free_base_port(PORTS)
        shape = scaled_shape(shape, options, base)
        super().__init__(shape, folder, options.service_ms)
        self.options = options
        self.service = options.service
        self.searchers = self._service_searchers()
        self.settings = {}
        self.exited_cpu_s = dict.fromkeys(options.designs, 0.0)
        for index, design in enumerate(options.designs):
            self._add_design(index, design)

    def _service_searchers(self) -> dict:
        for value in self.files.values():
            if self.service in value["services"]:
                return value["searchers"]
        raise KeyError(self.service)

    def _add_design(self, index: int, design: str) -> None:
        base = self.shape.base_port
        shifted_shape = dataclasses.replace(
            self.shape, base_port=base + index * PORTS_PER_DESIGN
        )
        for settings in daemon_settings(shifted_shape):
            settings["name"] = f"{design}-{settings['name']}"
            settings["design"] = design
            settings["prefix"] = f"bench-{design}"
            settings["store"]["port"] = base
            settings["host_list"]["port"] = base + 1 + index
            if design != "owner":
                settings["timing"] = {"probe_s": BASELINE_PROBE_S}
            self.settings[settings["name"]] = settings

    def call(self, method: str, port: int, path: str, body=None, key=""):
        """Sends a JSON request; retries after connection errors."""
        for attempt in range(CALL_ATTEMPTS):
            try:
                return super().call(method, port, path, body, key)
            except urllib3.exceptions.HTTPError:
                if attempt == CALL_ATTEMPTS - 1:
                    raise
                time.sleep(CALL_PAUSE_S)
        raise AssertionError("unreachable")

    def daemons(self, design: str) -> list[str]:
        """Returns the names of a design's daemons."""
        return [
            name
            for name, settings in self.settings.items()
            if settings["design"] == design
        ]

    def start(self) -> None:
        """Starts all processes and waits until all designs answer in full."""
        self.start_standins()
        for design in self.options.designs:
            self._push(design)
        for name in self.settings:
            self.start_daemon(name)
        for design in self.options.designs:
            self.wait_until(lambda d=design: self.ensure_ready(d), 60.0)

    def start_daemon(self, name: str) -> None:
        """Starts a daemon that logs warnings only."""
        path = self.write(f"{name}.json", self.settings[name])
        self.spawn(
            name,
            "kumquatspur.scripts.kumquatspurd",
            "--settings",
            path,
            "--log-level",
            "WARNING",
        )

    def start_standins(self) -> None:
        """Starts the store, a host list per design and the searchers."""
        base = self.shape.base_port
        self.spawn("store", "standins.store", "--port", str(base))
        for index, design in enumerate(self.options.designs):
            self._start_host_list(design, base + 1 + index)
        specs = searcher_specs(self.files, self.service_ms)
        for spec in specs:
            spec["record"] = False
            # The limit applies per design, so that designs do not compete for
            # connections.
            spec["connections"] *= len(self.options.designs)
            spec["connections"] += CONTROL_CONNECTIONS
            spec["request_ms"] = self.options.request_ms
        for index in range(SEARCHER_PROCESSES):
            part = {"searchers": specs[index::SEARCHER_PROCESSES]}
            path = self.write(f"searchers-{index}.json", part)
            self.spawn(
                f"searchers-{index}", "standins.searcher", "--spec", path
            )

    def _start_host_list(self, design: str, port: int) -> None:
        hosts = [
            {
                "name": name,
                "zone": self.settings[name]["zone"],
                "host": HOST,
                "port": self.settings[name]["peer"]["port"],
                "leaving": False,
                "role": "entry",
            }
            for name in self.daemons(design)
        ]
        path = self.write(f"hosts-{design}.json", {"hosts": hosts})
        self.spawn(
            f"host_list-{design}",
            "standins.host_list",
            "--port",
            str(port),
            "--hosts",
            path,
        )

    def _push(self, design: str) -> None:
        store = ConfigStore(
            StoreClient(Address(HOST, self.shape.base_port)),
            f"bench-{design}",
        )
        files = {name: json.dumps(v) for name, v in self.files.items()}
        self.wait_until(self._store_answers)
        _, errors = store.push(files, {}, "bench")
        if errors:
            raise ValueError(str(errors))

    def ensure_ready(self, design: str) -> bool:
        """Starts missing daemons; returns whether all answer in full."""
        names = self.daemons(design)
        for name in names:
            if name not in self.processes:
                self.start_daemon(name)
        for name in names:
            members = self.status(name)["members"]
            if sum(member["alive"] for member in members) < len(names) - 1:
                return False
        return all(self._answers_fully(name) for name in names)

    def _answers_fully(self, name: str) -> bool:
        body = {"service": self.service, "query": {}, "deadline_ms": 1000}
        for _ in range(WARM_UP_QUERIES):
            status, reply = self.query(name, body)
            if status != 200 or not reply["coverage"]["full"]:
                return False
        return True

    def clear_faults(self) -> None:
        """Resets all faults of the service's searchers."""
        for name in self.searchers:
            self.set_fault(name, **NO_FAULTS)

    def executed(self) -> dict[str, int]:
        """Returns the items and requests executed so far by the service."""
        totals = {"items": 0, "requests": 0}
        for name in self.searchers:
            port = self.searchers[name]["port"]
            _, counts = self.call("GET", port, "/counts")
            for key in totals:
                totals[key] += counts[key]
        return totals

    def decisions(self, design: str) -> dict[str, int]:
        """Returns the decision counters of a design, summed."""
        totals = {}
        for name in self.daemons(design):
            if name not in self.processes:
                continue
            port = self.settings[name]["admin"]["port"]
            key = self.settings[name]["admin_key"]
            _, body = self.call("GET", port, "/v1/metrics", key=key)
            for counter, value in body["decisions"].items():
                totals[counter] = totals.get(counter, 0) + value
        return totals

    def kill(self, name: str) -> None:
        """Kills a process and saves its CPU time."""
        if name in self.settings:
            design = self.settings[name]["design"]
            self.exited_cpu_s[design] += self._process_cpu_s(name)
        super().kill(name)

    def cpu_s(self, design: str) -> float:
        """Returns the CPU time used so far by a design's daemons, in s."""
        names = self.daemons(design)
        running = sum(self._process_cpu_s(name) for name in names)
        return running + self.exited_cpu_s[design]

    def standin_cpu_s(self) -> float:
        """Returns the CPU time of the busiest searcher process, in s."""
        names = [f"searchers-{i}" for i in range(SEARCHER_PROCESSES)]
        return max(self._process_cpu_s(name) for name in names)

    def _process_cpu_s(self, name: str) -> float:
        process = self.processes.get(name)
        if process is None:
            return 0.0
        stat = pathlib.Path(f"/proc/{process.pid}/stat").read_text()
        ticks = stat.rsplit(")", 1)[1].split()[11:13]
        return sum(map(int, ticks)) / os.sysconf("SC_CLK_TCK")

    def sleep_until(self, at: float) -> None:
        """Waits for a time of the monotonic clock."""
        time.sleep(max(0.0, at - time.monotonic()))
