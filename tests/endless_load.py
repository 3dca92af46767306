"""A faulty worker and callers of it, in a process of their own; commands come on standard input.

Their threads would otherwise hold up the task of a test that measures how long requests take.

    worker NUMBER      send the bytes of this kind of answer from now on
    call ADDRESS READS open connections with one request each, and read their answers if READS is 1
    close              close these connections
"""

import contextlib
import socket
import sys
import threading

from tests.endless_worker import Endless

HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNK = b"ffff\r\n" + bytes(0xFFFF) + b"\r\n"
KINDS = (
    Endless("head", HEAD, b"A: " + b"b" * 1000 + b"\r\n"),
    Endless("body without a length", HEAD + b"\r\n", bytes(1 << 16)),
    Endless("body with a length", HEAD + b"Content-Length: 1000000000000\r\n\r\n", bytes(1 << 16)),
    Endless("body in chunks", HEAD + b"Transfer-Encoding: chunked\r\n\r\n", CHUNK),
)
CALLERS = 40
SLOTS = 64
RECEIVE_BYTES = 1 << 16


class EndlessWorker:
    """Sends bytes without end to each request, from threads of its own."""

    def __init__(self) -> None:
        self.endless = KINDS[0]
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=SLOTS)
        self.address = "{}:{}".format(*self._listener.getsockname())
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        """Accept connections until the process ends."""
        while True:
            connection, _ = self._listener.accept()
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection: socket.socket) -> None:
        """Send until the connection is closed."""
        with connection, contextlib.suppress(OSError):
            connection.recv(RECEIVE_BYTES)
            connection.sendall(self.endless.start)
            while True:
                connection.sendall(self.endless.repeated)


class Caller:
    """A connection with one request, whose answer is read by a thread or by nobody."""

    def __init__(self, *, address: str, reads: bool) -> None:
        ip, _, port = address.rpartition(":")
        self._socket = socket.create_connection((ip, int(port)))
        self._socket.sendall(b"GET /empties HTTP/1.1\r\nHost: shop\r\n\r\n")
        if reads:
            threading.Thread(target=self._read, daemon=True).start()

    def close(self) -> None:
        """Close the connection."""
        with contextlib.suppress(OSError):
            self._socket.shutdown(socket.SHUT_RDWR)
        self._socket.close()

    def _read(self) -> None:
        """Read until the connection ends."""
        with contextlib.suppress(OSError):
            while self._socket.recv(RECEIVE_BYTES):
                pass


def main() -> None:
    """Print the worker's address, and run commands until the input ends; print a line for each."""
    worker = EndlessWorker()
    callers: list[Caller] = []
    print(worker.address, flush=True)
    for line in sys.stdin:
        match line.split():
            case ["worker", number]:
                worker.endless = KINDS[int(number)]
            case ["call", address, reads]:
                callers = [Caller(address=address, reads=reads == "1") for _ in range(CALLERS)]
            case ["close"]:
                for caller in callers:
                    caller.close()
        print("done", flush=True)


if __name__ == "__main__":
    main()
