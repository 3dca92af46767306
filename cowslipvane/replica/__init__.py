"""A replica of the accepted configuration: its log, terms, quorum and group."""

from cowslipvane.replica._group import (
    Add,
    Group,
    GroupChange,
    GroupRefused,
    Promote,
    Remove,
    Replace,
    Voter,
)
from cowslipvane.replica._journal import Ballot, Journal, Recovered
from cowslipvane.replica._messages import (
    Append,
    AppendReply,
    Command,
    Entry,
    Install,
    LogSnapshot,
    Noop,
    PreVote,
    PreVoteReply,
    Regroup,
    Report,
    Vote,
    VoteReply,
    Write,
)
from cowslipvane.replica._replica import Replica
from cowslipvane.replica._roles import Candidate, Follower, Leader, PreCandidate

__all__ = [
    "Add",
    "Append",
    "AppendReply",
    "Ballot",
    "Candidate",
    "Command",
    "Entry",
    "Follower",
    "Group",
    "GroupChange",
    "GroupRefused",
    "Install",
    "Journal",
    "Leader",
    "LogSnapshot",
    "Noop",
    "PreCandidate",
    "PreVote",
    "PreVoteReply",
    "Promote",
    "Recovered",
    "Regroup",
    "Remove",
    "Replace",
    "Replica",
    "Report",
    "Vote",
    "VoteReply",
    "Voter",
    "Write",
]
