"""A consumer, which sends one request on a new connection to the daemon of its machine."""

from __future__ import annotations

import http.client
import time
import uuid
from typing import NamedTuple

from lab2.machines import CALLERS_PORT, Lab, Machine

HOST = "lab.example"


class Answer(NamedTuple):
    """What a consumer got; the status is None if the connection ended without an answer."""

    request_id: str
    status: int | None
    body: bytes
    is_signed: bool


def ask(
    lab: Lab,
    machine: Machine,
    path: str,
    *,
    method: str = "GET",
    body: bytes = b"",
    deadline_ms: int = 1000,
) -> Answer:
    """Send one request and return its answer."""
    request_id = uuid.uuid4().hex[:16]
    connection = http.client.HTTPConnection(
        machine.ip, CALLERS_PORT, timeout=deadline_ms / 1000 + 0.5
    )
    lab.note(f"consumer at {machine.name} sends {request_id} {method} {path}")
    answer = Answer(request_id, None, b"", False)
    try:
        connection.request(
            method,
            path,
            body or None,
            {"Host": HOST, "Attempt-Id": request_id, "Deadline-Ms": str(deadline_ms)},
        )
        response = connection.getresponse()
        signed = response.getheader("Response-Signature") is not None
        answer = Answer(request_id, response.status, response.read(), signed)
    except (OSError, http.client.HTTPException) as error:
        lab.note(f"consumer at {machine.name}: {request_id} failed: {error!r}")
    finally:
        connection.close()
    lab.note(f"consumer at {machine.name} got {answer.status} for {request_id}")
    return answer


def is_served(lab: Lab, machine: Machine, path: str, *, timeout_s: float = 20.0) -> bool:
    """Send requests until one is served; return False if none is before the timeout."""
    end = time.monotonic() + timeout_s
    while time.monotonic() < end:
        if ask(lab, machine, path).status == 200:
            return True
        time.sleep(0.3)
    return False
