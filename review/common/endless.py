"""A searcher as a process, of whose answers a few have a body without end.

It prints its port. Usage: endless.py NAME CHUNK_BYTES EVERY: of EVERY answers,
one has chunks of CHUNK_BYTES bytes until the caller closes the connection. With
EVERY = 0, all answers are sound.
"""

import itertools
import socket
import sys
import threading
import time

WORK_S = 0.01
# It is in trouble for this time, again and again.
TROUBLE_S = 5.5
PERIOD_S = 6.5
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


class Searcher:
    """The searcher.

    Attributes:
        name: Its identifier.
        chunks: What it repeats in an answer without end.
        every: One of so many answers has no end; 0 for none.
    """

    def __init__(self, name: str, chunk_bytes: int, every: int):
        self.name = name
        self.chunks = (b"%x\r\n%b\r\n" % (chunk_bytes, b"x" * chunk_bytes)) * (
            60000 // (chunk_bytes + 5)
        )
        self.every = every
        self.numbers = itertools.count(1)

    def serve(self, sock: socket.socket) -> None:
        """Answers the requests of one connection."""
        with sock:
            try:
                while self.answer(sock):
                    pass
            except OSError:
                pass

    def answer(self, sock: socket.socket) -> bool:
        """Answers a request; returns False at the end of the connection."""
        data = b""
        while not data.endswith(b"\r\n\r\n"):
            received = sock.recv(65536)
            if not received:
                return False
            data += received
        fields = {}
        for line in data.decode("latin-1").split("\r\n")[1:]:
            name, _, value = line.partition(":")
            fields[name.strip().lower()] = value.strip()
        request_id = fields["kumquatspur-attempt-id"]
        if fields.get("kumquatspur-expected-instance", "") != self.name:
            sock.sendall(
                "HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n"
                f"Kumquatspur-Attempt-Id: {request_id}\r\n\r\n".encode()
            )
            return True
        time.sleep(WORK_S)
        in_trouble = time.monotonic() % PERIOD_S < TROUBLE_S
        if in_trouble and self.every and next(self.numbers) % self.every == 0:
            print(f"endless: {request_id}", flush=True)
            sock.sendall(HEAD)
            while True:
                sock.sendall(self.chunks)
        sock.sendall(
            "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n"
            f"Kumquatspur-Attempt-Id: {request_id}\r\n"
            f"Kumquatspur-Server-Seal: {self.name}.{request_id}\r\n"
            "Keep-Alive: timeout=5\r\n\r\ndone\n".encode()
        )
        return True


def main() -> None:
    """Accepts connections until the process is ended."""
    name, chunk_bytes, every = sys.argv[1:]
    searcher = Searcher(name, int(chunk_bytes), int(every))
    with socket.create_server(("127.0.0.1", 0), backlog=64) as listener:
        print(listener.getsockname()[1], flush=True)
        while True:
            sock, _ = listener.accept()
            threading.Thread(
                target=searcher.serve, args=(sock,), daemon=True
            ).start()


if __name__ == "__main__":
    main()
