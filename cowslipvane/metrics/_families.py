"""The metric families, each with its description."""

from __future__ import annotations

from typing import Literal, NamedTuple


class Family(NamedTuple):
    """A metric family; label is the name of its one label, or empty."""

    name: str
    kind: Literal["counter", "gauge", "histogram"]
    label: str
    description: str


# No label's values come from a caller, and those of each label are a closed set or bounded in
# number, so that the number of series stays bounded.
FAMILIES = (
    Family("cowslipvane_calls", "counter", "outcome", "calls that ended, served or by refusal"),
    Family("cowslipvane_call_seconds", "histogram", "", "time from a call's head to its end"),
    Family("cowslipvane_attempts", "counter", "", "attempts at owners"),
    Family("cowslipvane_retries", "counter", "", "attempts after the first of a call"),
    Family("cowslipvane_verdicts", "counter", "verdict", "attempts by whether they ran"),
    Family(
        "cowslipvane_team_requests",
        "counter",
        "team",
        "first attempts of the 50 teams with the most at this proxy",
    ),
    Family(
        "cowslipvane_all_team_requests",
        "counter",
        "",
        "first attempts of all teams; what exceeds the sum of those named is of other teams",
    ),
    Family(
        "cowslipvane_team_attempts",
        "counter",
        "kind",
        "attempts for teams: first, repeated, and those of calls that upstreams made",
    ),
    Family(
        "cowslipvane_quota_share", "gauge", "", "part of all quotas that this replica may grant"
    ),
    Family(
        "cowslipvane_quota_granted",
        "counter",
        "team",
        "requests of the 50 teams with the most here that this replica's part of a quota covered",
    ),
    Family(
        "cowslipvane_quota_refused",
        "counter",
        "team",
        "the same teams' questions for which this replica had no token left; another may have had",
    ),
    Family("cowslipvane_all_quota_granted", "counter", "", "the same of all teams, granted"),
    Family("cowslipvane_all_quota_refused", "counter", "", "the same of all teams, refused"),
    Family(
        "cowslipvane_quota_stood_in",
        "counter",
        "",
        "requests granted beyond this replica's part, for replicas that couldn't be asked",
    ),
    Family("cowslipvane_slots", "gauge", "", "requests that the upstream here runs at once"),
    Family("cowslipvane_running", "gauge", "", "requests that the upstream here runs now"),
    Family("cowslipvane_queue", "gauge", "", "requests that wait for the upstream here"),
    Family("cowslipvane_version_in_force", "gauge", "", "version that this proxy acts on"),
    Family("cowslipvane_versions", "counter", "result", "versions applied or rejected here"),
    Family("cowslipvane_version_accepted", "gauge", "", "newest version this replica knows of"),
    Family("cowslipvane_proxies", "gauge", "", "proxies that have reported to this replica"),
    Family("cowslipvane_proxies_behind", "gauge", "", "of these, those with an older version"),
    Family(
        "cowslipvane_convergence_seconds",
        "gauge",
        "",
        "time from the newest version's acceptance until the last proxy had it in force; it grows"
        " while one is behind",
    ),
    Family(
        "cowslipvane_unread_parts",
        "gauge",
        "",
        "parts of the release in force that this build should act on and doesn't",
    ),
    Family("cowslipvane_rollouts", "gauge", "phase", "services by the phase of their last rollout"),
    Family("cowslipvane_leader", "gauge", "", "1 at the replica that holds the leader's lease"),
    Family("cowslipvane_log_bytes", "gauge", "", "memory of the log behind the last snapshot"),
    Family("cowslipvane_term", "gauge", "", "term of this replica"),
    Family("cowslipvane_members", "gauge", "state", "processes known: up, leaving, gone, silent"),
    Family("cowslipvane_sent_bytes", "counter", "message", "bytes sent to peers by message"),
    Family("cowslipvane_received_bytes", "counter", "message", "bytes from peers by message"),
    Family("cowslipvane_events", "counter", "fate", "events recorded, and those lost by place"),
)
