"""Links between processes: their listener, gossip, and the connection to each owner."""

from cowslipvane.tasks.peers._event_copies import EventCopies
from cowslipvane.tasks.peers._gossip import Gossip
from cowslipvane.tasks.peers._links import Peers
from cowslipvane.tasks.peers._listener import CALLS_PATH, Handler, PeerListener
from cowslipvane.tasks.peers._mailbox import LinkLost, Mailbox, UnreadResponses

__all__ = [
    "CALLS_PATH",
    "EventCopies",
    "Gossip",
    "Handler",
    "LinkLost",
    "Mailbox",
    "PeerListener",
    "Peers",
    "UnreadResponses",
]
