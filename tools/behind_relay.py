"""Run the platform's program behind a relay, as `python -m tools.behind_relay IP PORT HIDDEN_PORT`.

The relay has the address IP:PORT, so the program listens at the hidden port instead. It connects to
peers from the address of its own host, by which the relay tells the hosts apart.
"""

from __future__ import annotations

import signal
import sys
from typing import Any


def main() -> int:
    """Move the sockets of peers, and run the program."""
    # As in the program itself, before modules are loaded.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from asyncio import BaseEventLoop  # noqa: PLC0415

    from cowslipvane.platform.__main__ import main as run_program  # noqa: PLC0415

    loop_class: Any = BaseEventLoop
    connect, listen = loop_class.create_connection, loop_class.create_server
    ip, port, hidden_port = sys.argv[1], int(sys.argv[2]), int(sys.argv[3])

    def connect_from_host(loop: Any, factory: Any, *address: Any, **options: Any) -> Any:
        if options.get("port") == port:
            options["local_addr"] = (ip, 0)
        return connect(loop, factory, *address, **options)

    def listen_hidden(loop: Any, factory: Any, host: Any, at: int, **options: Any) -> Any:
        return listen(loop, factory, host, hidden_port if at == port else at, **options)

    loop_class.create_connection, loop_class.create_server = connect_from_host, listen_hidden
    return run_program()


if __name__ == "__main__":
    sys.exit(main())
