"""The operator, as the users' pages describe: any daemon, redirects, resends until it is clear."""

from __future__ import annotations

import http.client
import json
import time
from typing import Any

from lab2.machines import CONTROL_PORT, Lab

_FINAL = frozenset({200, 400, 409, 412, 413, 422})
_MAX_REDIRECTS = 2


def configuration(
    version: int, base: int, routes: dict[str, str], *, kinds: dict[str, str] | None = None
) -> dict[str, Any]:
    """Return a configuration that leads each path prefix of one host to a service."""
    rules = [
        {
            "name": f"r{number}",
            "type": (kinds or {}).get(prefix, "non_idempotent"),
            "target_latency_s": 0.5,
            "priority": 1,
            "match": {"path_prefix": prefix},
            "action": {"service": service, "timeout_s": 2.0, "attempts": 2},
        }
        for number, (prefix, service) in enumerate(routes.items())
    ]
    return {
        "version": f"{version:08x}",
        "base_version": f"{base:08x}",
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 67108864,
            "header_timeout_s": 3,
            "idle_timeout_s": 15,
        },
        "listeners": [{"host": "lab.example", "route_rules": rules}],
        "clusters": [
            {
                "name": service,
                "health_path": "/healthz",
                "max_connections": 110,
                "protocol": "h1",
                "tls": False,
            }
            for service in sorted(set(routes.values()))
        ],
    }


def call(ip: str, method: str, path: str, body: bytes = b"") -> tuple[int | None, bytes]:
    """Call one daemon, follow redirects twice; the status is None without an answer in 1 s."""
    target = ip, CONTROL_PORT, path
    for _ in range(_MAX_REDIRECTS + 1):
        connection = http.client.HTTPConnection(target[0], target[1], timeout=1.0)
        try:
            connection.request(
                method, target[2], body or None, {"Content-Type": "application/json"}
            )
            response = connection.getresponse()
            content = response.read()
            if response.status != 307:
                return response.status, content
            location = response.getheader("Location", "")
            address, _, rest = location.removeprefix("http://").partition("/")
            host, _, port = address.rpartition(":")
            target = host, int(port), "/" + rest
        except (OSError, http.client.HTTPException, ValueError):
            return None, b""
        finally:
            connection.close()
    return None, b""


def replace(lab: Lab, ips: list[str], form: dict[str, Any], timeout: float) -> int | None:
    """Send a configuration to one daemon after another until there is a clear answer."""
    body = json.dumps(form).encode()
    end, turn = time.monotonic() + timeout, 0
    while time.monotonic() < end:
        ip = ips[turn % len(ips)]
        status, _ = call(ip, "POST", "/api/Config.Replace", body)
        lab.note(f"operator sent version {form['version']} to {ip}: {status}")
        if status in _FINAL:
            return status
        turn += 1
        time.sleep(min(0.1 * 2**turn, 1.0))
    return None


def read(lab: Lab, ips: list[str], timeout: float) -> dict[str, Any] | None:
    """Read the configuration at one daemon after another until it comes."""
    end, turn = time.monotonic() + timeout, 0
    while time.monotonic() < end:
        ip = ips[turn % len(ips)]
        status, content = call(ip, "GET", "/api/Config.Get")
        lab.note(f"operator read at {ip}: {status}")
        if status == 200:
            form: dict[str, Any] = json.loads(content)
            return form
        turn += 1
        time.sleep(0.5)
    return None
