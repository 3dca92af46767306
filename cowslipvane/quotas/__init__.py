"""Quotas of teams: their division among replicas, and the tokens that each of those grants."""

from cowslipvane.quotas._division import DivisionView, Renewal, next_division
from cowslipvane.quotas._ledger import QuotaLedger
from cowslipvane.quotas._messages import (
    Grant,
    GrantState,
    RenewShare,
    ShareRenewed,
    ShareUnknown,
    TakeTokens,
    TokensTaken,
    Unused,
    Want,
)
from cowslipvane.quotas._quota import NoQuota, QuotaOfTeam, TeamUse, UnknownTeam
from cowslipvane.quotas._share import HeldShare

__all__ = [
    "DivisionView",
    "Grant",
    "GrantState",
    "HeldShare",
    "NoQuota",
    "QuotaLedger",
    "QuotaOfTeam",
    "RenewShare",
    "Renewal",
    "ShareRenewed",
    "ShareUnknown",
    "TakeTokens",
    "TeamUse",
    "TokensTaken",
    "UnknownTeam",
    "Unused",
    "Want",
    "next_division",
]
