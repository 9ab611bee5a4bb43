"""Instances tell each other how many requests they have at each target."""

import eventlet

from whinrack.clock import steady
from whinrack.dispatch import TargetRegistry
from whinrack.gossip import GossipLink, PeerTable, TargetLoads

__all__ = ["LoadSharing"]

# Between two messages on the requests in flight.
_SHARE_INTERVAL_SECONDS = 0.25


class LoadSharing:
    """Sends this instance's loads to the peers that serve callers, and takes in theirs.

    Parameters
    ----------
    name : str
        This instance.
    table : PeerTable
    link : GossipLink
    registry : TargetRegistry
    """

    def __init__(self, name: str, table: PeerTable, link: GossipLink, registry: TargetRegistry):
        self.name = name
        self.table = table
        self.link = link
        self.registry = registry

    def receive(self, message: TargetLoads) -> None:
        """Take in the loads of a peer."""
        self.registry.remote_loads.update(
            message.sender, message.request_counts, steady(), message.unread_prompt_tokens
        )

    def share_forever(self) -> None:
        """Tell the peers that serve callers how many requests are at each target from here."""
        had_loads = False
        while True:
            eventlet.sleep(self.table.heartbeat_interval(_SHARE_INTERVAL_SECONDS))
            counts = self.registry.requests_by_target()
            if counts or had_loads:
                self._send(TargetLoads(self.name, counts, self.registry.unread_tokens()))
            had_loads = bool(counts)

    def _send(self, message: TargetLoads) -> None:
        for view in self.table.serving_peers(steady()):
            self.link.send(message, view.state.sender.address)
