"""HTTP connections of callers and operators: listening, pipelining, how a connection ends."""

from cowslipvane.tasks.http._chunked_body import ChunkedBody
from cowslipvane.tasks.http._listener import HttpListener, error_response
from cowslipvane.tasks.http._pipeline import (
    MalformedBody,
    Prefetcher,
    begin_parts,
    connection_end,
    end_parts,
    is_closed,
    is_last_in_progress,
    is_sent,
    linger,
    pop_prefetched,
    reset_connection,
    stop_prefetching,
    withdraw_parts,
)

__all__ = [
    "ChunkedBody",
    "HttpListener",
    "MalformedBody",
    "Prefetcher",
    "begin_parts",
    "connection_end",
    "end_parts",
    "error_response",
    "is_closed",
    "is_last_in_progress",
    "is_sent",
    "linger",
    "pop_prefetched",
    "reset_connection",
    "stop_prefetching",
    "withdraw_parts",
]
