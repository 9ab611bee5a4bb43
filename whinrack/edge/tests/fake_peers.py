"""A peer table with a fake clock, for tests of classes that use the table."""

import msgspec

from whinrack.edge import EdgeOptions
from whinrack.gossip import Heartbeat, PeerAddress, PeerState, PeerTable

__all__ = ["OPTIONS", "FakePeers", "ready_state"]

OPTIONS = EdgeOptions(
    name="a",
    data_hall="h0",
    callers=("10.0.0.1", 80),
    directory=None,
    ready=None,
    gossip=("10.0.0.1", 7340),
    seeds=(("10.0.0.1", 7340), ("10.0.1.1", 7340)),
)


def ready_state(address, sequence=1, **fields):
    """Return the state of an instance that accepts callers, with some fields set."""
    state = PeerState(
        incarnation=f"{address.name}.1",
        sequence=sequence,
        sender=address,
        callers=f"{address.name}:80",
        data_hall="h0",
        ready=True,
        store_answers=True,
        load=0,
        configuration=1,
    )
    return msgspec.structs.replace(state, **fields)


class FakePeers:
    """Peer table with simulated heartbeats; `module` is the module whose clock is replaced."""

    def __init__(self, monkeypatch, module):
        self.now = 100.0
        monkeypatch.setattr(module, "steady", lambda: self.now)
        self.table = PeerTable("a", silent_seconds=0.9, forget_seconds=60.0)

    def hear(self, *peers, **fields):
        """Receive heartbeats of some peers, with some fields of their states set."""
        for peer in peers:
            address = PeerAddress(f"p{peer}", f"10.0.1.{peer}", 7340)
            state = ready_state(address, sequence=int(self.now * 10), **fields)
            self.table.record_heartbeat(Heartbeat(state=state, number=int(self.now * 10)), self.now)
