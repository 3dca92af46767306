"""Commands that explain what became of requests."""

from __future__ import annotations

from typing import Any

from cowslipvane.commands._errors import CommandFailed, client_of


async def explain(servers: tuple[str, ...], request: str) -> str:
    """Return the sentence that a caller was told, and the events behind it."""
    async with client_of(servers) as client:
        events = await client.events(request)
    if not events:
        raise CommandFailed(f"no process remembers request {request}; check the id")
    sentences = [event["detail"]["sentence"] for event in events if event["kind"] == "refused"]
    lines = sentences or ["The request was answered by its upstream."]
    lines += [f"  {_event_line(event)}" for event in events]
    return "\n".join(lines)


def _event_line(event: dict[str, Any]) -> str:
    """Return one event as a line."""
    detail = " ".join(f"{name}={value}" for name, value in event["detail"].items())
    return f"{event['wall']:.6f} {event['host']} {event['kind']} {detail}"
