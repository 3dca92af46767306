"""The members of a data centre: who is up, leaving or gone."""

from cowslipvane.membership._member import Exchange, ExchangeReply, Member, Worker
from cowslipvane.membership._membership import Membership

__all__ = ["Exchange", "ExchangeReply", "Member", "Membership", "Worker"]
