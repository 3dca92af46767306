"""Check the head of a request before it is routed."""

from __future__ import annotations

from collections.abc import Iterable
from urllib.parse import unquote

_DOT_SEGMENTS = frozenset({".", ".."})


def head_fault(*, target: str, http_1_1: bool, fields: Iterable[tuple[str, str]]) -> str | None:
    """Return why a request can't be forwarded faithfully, or None if it can."""
    fault = _target_fault(target)
    if fault is not None:
        return fault
    host_fields = 0
    for name, value in fields:
        host_fields += name.lower() == "host"
        match name.lower(), value.strip().lower():
            case "transfer-encoding", coding if coding != "chunked" or not http_1_1:
                return "its body comes in a transfer coding other than chunked"
            case "expect", expectation if expectation != "100-continue":
                return "its expectation is not 100-continue"
    return "it has more than one Host field" if host_fields > 1 else None


def _target_fault(target: str) -> str | None:
    """Return why a request target is not accepted, or None if it is."""
    # A target in absolute form could name another host than the Host field.
    if not target.startswith("/"):
        return "its target is not a path"
    path = target.partition("?")[0]
    # If the proxy and an upstream interpret // or dot segments differently, a request could bypass
    # the route that is meant for its path.
    if path.startswith("//"):
        return "its path begins with two slashes"
    if _DOT_SEGMENTS & set(unquote(path).replace("\\", "/").split("/")):
        return "its path has a segment of dots"
    if "#" in target:
        return "its target has a fragment"
    return None
