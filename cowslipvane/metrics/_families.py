"""The metric families, each with its description."""

from __future__ import annotations

from typing import Literal, NamedTuple


class Family(NamedTuple):
    """A metric family; label is the name of its one label, or empty."""

    name: str
    kind: Literal["counter", "gauge", "histogram"]
    label: str
    description: str


# Every label has a closed set of values, none of which comes from a caller, so that the number of
# series stays bounded.
FAMILIES = (
    Family("cowslipvane_calls", "counter", "outcome", "ended calls: served, or code of refusal"),
    Family("cowslipvane_call_seconds", "histogram", "", "time from a call's head to its end"),
    Family("cowslipvane_attempts", "counter", "", "attempts sent to owners"),
    Family("cowslipvane_retries", "counter", "", "attempts after the first of a call"),
    Family("cowslipvane_verdicts", "counter", "verdict", "attempts by whether the request ran"),
    Family("cowslipvane_slots", "gauge", "", "concurrency limit of this host's upstream"),
    Family("cowslipvane_running", "gauge", "", "requests running at this host's upstream"),
    Family("cowslipvane_queue", "gauge", "", "requests queued for this host's upstream"),
    Family("cowslipvane_version_in_force", "gauge", "", "version in force at this proxy"),
    Family("cowslipvane_versions", "counter", "result", "versions applied or rejected here"),
    Family("cowslipvane_version_accepted", "gauge", "", "newest accepted version known here"),
    Family("cowslipvane_proxies", "gauge", "", "proxies that have reported to this replica"),
    Family("cowslipvane_proxies_behind", "gauge", "", "proxies that reported an older version"),
    Family(
        "cowslipvane_convergence_seconds",
        "gauge",
        "",
        "time from the acceptance of the newest version until it was in force at the last proxy;"
        " it grows while a proxy is behind",
    ),
    Family("cowslipvane_leader", "gauge", "", "1 at the replica that holds the leader lease"),
    Family("cowslipvane_term", "gauge", "", "term of this replica"),
    Family("cowslipvane_members", "gauge", "state", "known processes: up, leaving, gone, silent"),
    Family("cowslipvane_sent_bytes", "counter", "message", "bytes sent to peers by message"),
    Family("cowslipvane_received_bytes", "counter", "message", "bytes from peers by message"),
    Family("cowslipvane_events", "counter", "fate", "events recorded, and those lost by place"),
)
