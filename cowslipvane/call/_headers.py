"""Remove hop-by-hop header fields."""

from __future__ import annotations

from collections.abc import Iterable

from cowslipvane.types import Header, Headers

# Fields that apply to one hop (RFC 9110, section 7.6.1, and RFC 2616, section 13.5.1), and two that
# each hop handles itself: Content-Length, since the body is framed again, and Expect, which is
# answered with a 100.
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
    """Return the fields without those that apply to a single hop."""
    headers = tuple(Header(name, value) for name, value in fields)
    connection_options = {
        token.strip().lower()
        for header in headers
        if header.name.lower() == "connection"
        for token in header.value.split(",")
    }
    dropped = _HOP_BY_HOP | connection_options
    return tuple(header for header in headers if header.name.lower() not in dropped)
