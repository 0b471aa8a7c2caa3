"""Signals that daemons get while they load."""

import json
import pathlib
import signal
import subprocess
import sys
import tempfile
import time
import unittest

import eventlet

from kumquatspur.scripts.early_signals import EarlySignals
from standins.platform_deployment import (
    GRACE_S,
    LOOPBACK,
    WAIT_S,
    HostProcess,
    send_request,
    wait_until,
)
from standins.platform_searcher import (
    PlatformSearcher,
    forwarded_route,
    make_config,
)
from standins.platform_store import StandInStore

# Runs a daemon that gets a signal while it imports a module: within a callback
# of a weak reference, as importlib has them, where Python drops exceptions.
LOADER = """
import os, runpy, sys, weakref

daemon, module, number, *arguments = sys.argv[1:]


class Finder:
    def find_spec(self, name, path=None, target=None):
        if name == module:
            sys.meta_path.remove(self)
            item = Finder()
            kept = weakref.ref(
                item, lambda _: os.kill(os.getpid(), int(number))
            )
            del item
        return None


sys.meta_path.insert(0, Finder())
sys.argv = [daemon, *arguments]
runpy.run_module(daemon, run_name="__main__", alter_sys=True)
"""
PLATFORM_DAEMON = "kumquatspur.scripts.platform_daemon"
# Imported before, right after, and long after the early listener.
MODULES = ("kumquatspur.wire.early_listener", "eventlet", "msgspec")
LAST_MODULE = "kumquatspur.wire.store_watch"
# Modules of kumquatspurd, from the first one on.
DAEMON_MODULES = ("eventlet", "cappa", "kumquatspur.wire.shell")


class EarlySignalsTest(unittest.TestCase):
    def setUp(self):
        self.exits, self.stops, self.reloads = [], [], []
        self.signals = EarlySignals(self.exits.append)

    def attach(self):
        self.signals.attach(
            self.stops.append, lambda: self.reloads.append(True)
        )

    def test_stop_before_connections_are_accepted_exits(self):
        self.signals._on_stop()
        self.assertEqual(self.exits, [0])

    def test_stop_while_connections_are_accepted_is_kept(self):
        self.signals.accepts = True
        self.signals._on_stop()
        at = self.signals.stop_at
        self.signals._on_stop()
        self.assertEqual(self.exits, [])
        self.attach()
        self.assertEqual(self.stops, [at])

    def test_signals_are_passed_on_once_attached(self):
        self.signals._on_reload()
        self.attach()
        self.assertEqual(self.reloads, [True])
        self.assertEqual(self.stops, [])
        self.signals._on_reload()
        self.signals._on_stop()
        self.assertEqual(len(self.reloads), 2)
        self.assertEqual(self.stops, [self.signals.stop_at])
        self.assertEqual(self.exits, [])


class SignalsWhileHostLoadsTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        (self.folder / "logs").mkdir()
        self.started = 0
        self.store = StandInStore()
        self.addCleanup(self.store.close)
        searcher = PlatformSearcher("i-1", "single", "z1", (), 0.02)
        self.addCleanup(searcher.close)
        searcher.register(self.store)
        routes = [forwarded_route("one", "/one/", "single")]
        self.store.put_json("op/config", make_config(1, routes))

    def start(self, module, number, seeds=()):
        """Starts a host that gets a signal when it imports a module."""
        self.started += 1
        host = HostProcess(f"h{self.started}", "z1", self.folder)
        host.write_settings(self.store.address, seeds)
        with host.log_path.open("ab") as log:
            host.process = subprocess.Popen(
                [
                    *(sys.executable, "-W", "ignore", "-c", LOADER),
                    *(PLATFORM_DAEMON, module, str(int(number))),
                ],
                stdout=log,
                stderr=subprocess.STDOUT,
                env={
                    "PATH": "",
                    "PYTHONPATH": ":".join([".", *sys.path[1:]]),
                    "KUMQUATSPUR_NODE_FILE": str(host.settings_path),
                },
            )
        self.addCleanup(host.wait_for_exit, 0.0)
        return host

    def events(self, host):
        lines = host.log_path.read_text().splitlines()
        return [json.loads(line) for line in lines if line.startswith("{")]

    def exit_code(self, host):
        wait_until(lambda: host.process.poll() is not None)
        return host.process.returncode

    def test_host_that_accepts_nothing_yet_ends_at_once(self):
        """Guards against a SIGTERM that is dropped while a host loads."""
        # With a host that serves, no connection is accepted early.
        other = eventlet.listen((LOOPBACK, 0), reuse_port=False)
        self.addCleanup(other.close)
        seeds = [other.getsockname()[1]]
        for number in (signal.SIGTERM, signal.SIGINT):
            for module in (*MODULES, LAST_MODULE):
                host = self.start(module, number, seeds)
                self.assertEqual(self.exit_code(host), 0, module)
                self.assertEqual(self.events(host), [])

    def test_client_that_has_connected_is_answered_before_the_end(self):
        """Guards against requests that a dropped SIGTERM has cut (review/2)."""
        for module in ("eventlet", LAST_MODULE):
            host = self.start(module, signal.SIGTERM)
            found = []

            def ask(host=host, found=found):
                while host.is_running() and not found:
                    reply = send_request(host, "/one/x", "early")
                    if reply is not None:
                        found.append(reply)
                    eventlet.sleep(0.01)

            began = time.monotonic()
            asking = eventlet.spawn(ask)
            self.assertEqual(self.exit_code(host), 0)
            asking.wait()
            self.assertLess(time.monotonic() - began, WAIT_S)
            (reply,) = found
            self.assertEqual(reply[0], 200, reply)
            self.assertEqual(reply[1].get("connection"), "close")
            names = [line["event"] for line in self.events(host)]
            self.assertEqual(names.count("stopping"), 1)

    def test_second_stop_does_not_extend_the_grace_period(self):
        """Guards against a SIGTERM that acts twice."""
        host = self.start(LAST_MODULE, signal.SIGTERM)
        wait_until(lambda: '"stopping"' in host.log_path.read_text())
        began = time.monotonic()
        while host.is_running() and time.monotonic() - began < WAIT_S:
            host.signal(signal.SIGTERM)
            eventlet.sleep(0.05)
        self.assertEqual(self.exit_code(host), 0)
        self.assertLess(time.monotonic() - began, GRACE_S)
        names = [line["event"] for line in self.events(host)]
        self.assertEqual(names.count("stopping"), 1)
        self.assertEqual(names.count("stop"), 1)

    def test_reload_while_a_host_loads_is_no_end(self):
        """Guards against a SIGHUP that ends a host which loads."""
        for module in (*MODULES, LAST_MODULE):
            host = self.start(module, signal.SIGHUP)
            wait_until(host.is_ready)
            host.signal(signal.SIGTERM)
            self.assertEqual(self.exit_code(host), 0)

    def test_signals_while_kumquatspurd_loads(self):
        """Guards against a SIGTERM that is dropped while a daemon loads."""
        for module in DAEMON_MODULES:
            process = subprocess.run(
                [
                    *(sys.executable, "-W", "ignore", "-c", LOADER),
                    *("kumquatspur.scripts.kumquatspurd", module),
                    *(str(int(signal.SIGTERM)), "--settings", "/nowhere"),
                ],
                capture_output=True,
                timeout=WAIT_S,
                check=False,
            )
            self.assertEqual(process.returncode, 0, process.stderr)
            process = subprocess.run(
                [
                    *(sys.executable, "-W", "ignore", "-c", LOADER),
                    *("kumquatspur.scripts.kumquatspurd", module),
                    *(str(int(signal.SIGHUP)), "--settings", "/nowhere"),
                ],
                capture_output=True,
                timeout=WAIT_S,
                check=False,
            )
            # It goes on, until it finds no settings.
            self.assertEqual(process.returncode, 2, process.stderr)


if __name__ == "__main__":
    unittest.main()
