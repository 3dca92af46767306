"""A replica of the accepted configuration: its log, terms, quorum and group."""

from cowslipvane.replica._messages import (
    Append,
    AppendReply,
    Command,
    Entry,
    Noop,
    PreVote,
    PreVoteReply,
    Report,
    Vote,
    Voter,
    VoteReply,
    Write,
)
from cowslipvane.replica._replica import Ballot, Journal, Recovered, Replica
from cowslipvane.replica._roles import Candidate, Follower, Leader, PreCandidate

__all__ = [
    "Append",
    "AppendReply",
    "Ballot",
    "Candidate",
    "Command",
    "Entry",
    "Follower",
    "Journal",
    "Leader",
    "Noop",
    "PreCandidate",
    "PreVote",
    "PreVoteReply",
    "Recovered",
    "Replica",
    "Report",
    "Vote",
    "VoteReply",
    "Voter",
    "Write",
]
