"""A searcher in trouble, as a process: an answer whose body never ends.

It prints its port, and answers each request with a head and then chunks of one
byte until the caller closes the connection.
"""

import socket
import threading

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
CHUNKS = b"1\r\nx\r\n" * 10000


def serve(sock: socket.socket) -> None:
    """Answers the request of one connection without end."""
    with sock:
        try:
            data = b""
            while b"\r\n\r\n" not in data:
                received = sock.recv(65536)
                if not received:
                    return
                data += received
            sock.sendall(HEAD)
            while True:
                sock.sendall(CHUNKS)
        except OSError:
            pass


def main() -> None:
    """Accepts connections until the process is ended."""
    with socket.create_server(("127.0.0.1", 0), backlog=64) as listener:
        print(listener.getsockname()[1], flush=True)
        while True:
            sock, _ = listener.accept()
            threading.Thread(target=serve, args=(sock,), daemon=True).start()


if __name__ == "__main__":
    main()
