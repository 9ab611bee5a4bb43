"""Exchange of the number of requests in flight per target between instances."""

import eventlet

from whinrack.clock import steady
from whinrack.dispatch import TargetRegistry
from whinrack.gossip import GossipLink, PeerTable, TargetLoads

__all__ = ["LoadSharing"]

# Interval between two load messages.
_SHARE_INTERVAL_SECONDS = 0.25
# Times of first events are sent in units of 0.1 ms.
_UNITS_PER_SECOND = 10_000


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
        now = steady()
        self.registry.remote_loads.update(
            message.sender, message.request_counts, now, message.unread_prompt_tokens
        )
        for digest, tokens, units in message.first_events:
            self.registry.observe_remote_first_event(digest, tokens, units / _UNITS_PER_SECOND, now)

    def share_forever(self) -> None:
        """Send the loads to the peers that serve callers until the process ends."""
        had_loads = False
        while True:
            eventlet.sleep(self.table.heartbeat_interval(_SHARE_INTERVAL_SECONDS))
            counts = self.registry.requests_by_target()
            if counts or had_loads:
                self._send(
                    TargetLoads(
                        self.name, counts, self.registry.unread_tokens(), self._first_events()
                    )
                )
            had_loads = bool(counts)

    def _first_events(self) -> list[tuple[int, int, int]]:
        return [
            (digest, tokens, round(seconds * _UNITS_PER_SECOND))
            for digest, tokens, seconds in self.registry.placement.speeds.take_unshared()
        ]

    def _send(self, message: TargetLoads) -> None:
        for view in self.table.serving_peers(steady()):
            self.link.send(message, view.state.sender.address)
