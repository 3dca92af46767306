"""Header fields that belong to one hop."""

from __future__ import annotations

from collections.abc import Iterable

from cowslipvane.types import Header, Headers

# RFC 9110, section 7.6.1, the lengths that each hop frames anew, and the expectation of a 100
# that each hop meets by itself.
_HOP_BY_HOP = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


def end_to_end_headers(fields: Iterable[tuple[str, str]]) -> Headers:
    """Return the fields that may pass to the next hop."""
    headers = tuple(Header(name, value) for name, value in fields)
    named = {
        token.strip().lower()
        for header in headers
        if header.name.lower() == "connection"
        for token in header.value.split(",")
    }
    dropped = _HOP_BY_HOP | named
    return tuple(header for header in headers if header.name.lower() not in dropped)
