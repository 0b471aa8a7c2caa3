"""TCP relay on loopback that simulates network faults.

POST /fault on the control port takes {"mode": MODE}, and GET /fault returns
the mode with counts of connections. The modes:

    pass     forward bytes
    cut      reset the open connections and all new ones
    silent   drop bytes on the connections open now; new connections work
    stall    drop bytes on all connections, open and new
    one_way  drop bytes from the target on all connections
    delay    forward bytes after a delay
    refuse   keep the open connections, reset new ones
    closed   keep the open connections, refuse new ones
    unreachable  drop bytes on all connections; new ones do not open
"""

import eventlet

eventlet.monkey_patch()

import argparse  # noqa: E402
import socket  # noqa: E402

from standins.http_helpers import read_json, reset_connection, send_json, serve  # noqa: E402

HOST = "127.0.0.1"
READ_BYTES = 65536
# Modes in which the relay accepts no connections.
CLOSING_MODES = frozenset({"closed", "unreachable"})
# Connections that fill the queue of a listener with a backlog of 0.
BACKLOG_FILLERS = 3


class Relay:
    """A relay from one port to another.

    Attributes:
        target: The port that it forwards to.
        port: The port that it listens on.
        mode: The current mode.
        delay_s: Delay of bytes in mode delay, in seconds.
        accepted: Number of connections accepted and not reset.
        attempts: Number of connections opened to it, also those reset.
        connections: The two forwarding green threads of each open connection,
            by its pair of sockets.
        blackholed: Connections whose bytes are dropped in both directions,
            also after the mode has changed.
    """

    def __init__(self, target: int, port: int = 0):
        self.target = target
        self.mode = "pass"
        self.delay_s = 0.0
        self.accepted = 0
        self.attempts = 0
        self.connections = {}
        self.blackholed = set()
        self.port = port
        self._fillers = []
        self._listen()
        self.port = self.listener.getsockname()[1]

    def __call__(self, environ, start_response):
        """Serves the control port."""
        if environ["REQUEST_METHOD"] == "POST":
            self.set_mode(read_json(environ)["mode"])
        counts = {"accepted": self.accepted, "attempts": self.attempts}
        body = {"mode": self.mode, "open": len(self.connections), **counts}
        return send_json(start_response, "200 OK", body)

    def set_mode(self, mode: str) -> None:
        """Sets the mode and applies it to the open connections."""
        if self.mode == "one_way":
            # Both directions keep dropping bytes after a one-way fault, like
            # a NAT or firewall that has lost its entry for the connection.
            self.blackholed |= self.connections.keys()
        if mode != self.mode and {mode, self.mode} & CLOSING_MODES:
            self._stop_listening()
            if mode == "unreachable":
                self._fill_backlog()
            elif mode != "closed":
                self._listen()
        self.mode = "pass" if mode == "silent" else mode
        if mode in ("silent", "stall", "unreachable"):
            self.blackholed |= self.connections.keys()
        if mode == "cut":
            for connection in list(self.connections):
                self._close(connection, broken=True)

    def close(self) -> None:
        """Closes all sockets."""
        self._stop_listening()
        for connection in list(self.connections):
            self._close(connection)

    def _listen(self) -> None:
        self.listener = eventlet.listen((HOST, self.port), reuse_port=False)
        self._accept_thread = eventlet.spawn(self._accept)

    def _stop_listening(self) -> None:
        self._accept_thread.kill()
        self.listener.close()
        for sock in self._fillers:
            sock.close()
        self._fillers.clear()

    def _fill_backlog(self) -> None:
        """Listens without accepting, so that new connections do not open."""
        self.listener = eventlet.listen(
            (HOST, self.port), backlog=0, reuse_port=False
        )
        for _ in range(BACKLOG_FILLERS):
            sock = socket.socket()
            sock.fd.setblocking(False)
            sock.fd.connect_ex((HOST, self.port))
            self._fillers.append(sock)

    def _accept(self) -> None:
        while True:
            try:
                client, _ = self.listener.accept()
            except (OSError, EOFError):
                return
            self.attempts += 1
            if self.mode in ("cut", "refuse"):
                reset_connection(client)
                continue
            self.accepted += 1
            eventlet.spawn_n(self._open, client)

    def _open(self, client) -> None:
        try:
            server = socket.create_connection((HOST, self.target))
        except OSError:
            reset_connection(client)
            return
        connection = (client, server)
        if self.mode == "stall":
            self.blackholed.add(connection)
        self.connections[connection] = (
            eventlet.spawn(self._forward, connection, client, server, False),
            eventlet.spawn(self._forward, connection, server, client, True),
        )

    def _forward(self, connection, source, sink, back: bool) -> None:
        try:
            while data := source.recv(READ_BYTES):
                if self.mode == "delay":
                    eventlet.sleep(self.delay_s)
                if not self._is_blackholed(connection, back):
                    sink.sendall(data)
        except (OSError, EOFError):
            pass
        if not self._is_blackholed(connection, back):
            self._close(connection)

    def _is_blackholed(self, connection, back: bool) -> bool:
        return connection in self.blackholed or (
            back and self.mode == "one_way"
        )

    def _close(self, connection, broken: bool = False) -> None:
        threads = self.connections.pop(connection, ())
        self.blackholed.discard(connection)
        for thread in threads:
            # A thread still waiting on a closed socket would read from the
            # next socket that gets the same file descriptor.
            if thread is not eventlet.getcurrent():
                thread.kill()
        for end in connection:
            if broken:
                reset_connection(end)
                continue
            try:
                end.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
            end.close()


def main():
    """Relays until it is killed."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument(
        "--relay",
        nargs=3,
        type=int,
        action="append",
        required=True,
        metavar=("PORT", "TARGET", "CONTROL"),
    )
    for port, target, control in parser.parse_args().relay:
        serve(control, Relay(target, port))
    while True:
        eventlet.sleep(3600)


if __name__ == "__main__":
    main()
