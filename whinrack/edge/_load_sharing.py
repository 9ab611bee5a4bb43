"""Exchange of the number of requests in flight per target between instances."""

import eventlet

from whinrack.clock import steady
from whinrack.dispatch import TargetRegistry
from whinrack.gossip import GossipLink, PeerTable, TargetLoads

__all__ = ["LoadSharing"]

# Interval between two load messages.
_SHARE_INTERVAL_SECONDS = 0.25


class LoadSharing:
    """Sends this instance's target loads to the peers that serve callers, and receives theirs.

    Parameters
    ----------
    name : str
        Name of this instance.
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
        """Record the loads of a peer."""
        self.registry.remote_loads.update(
            message.sender, message.request_counts, steady(), message.unread_prompt_tokens
        )

    def share_forever(self) -> None:
        """Send the loads to the peers that serve callers until the process ends."""
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
