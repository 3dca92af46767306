"""Tasks of quotas: in a replica that grants tokens, and in the proxies that ask for them."""

from cowslipvane.tasks.quotas._client import CallToken, QuotaClient
from cowslipvane.tasks.quotas._keeper import QUOTA_PATH, QuotaKeeper

__all__ = ["QUOTA_PATH", "CallToken", "QuotaClient", "QuotaKeeper"]
