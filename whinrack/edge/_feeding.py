"""Who follows the store itself, and who is fed by a peer that does."""

import time
from collections.abc import Callable

from whinrack.base import rendezvous
from whinrack.edge._contact import StoreContact
from whinrack.edge._options import HostPort
from whinrack.edge._relay import PeerFeed
from whinrack.edge._sources import FollowedSource, SourcePlan
from whinrack.gossip import PeerState, PeerTable, prefer_strong
from whinrack.http1 import ConnectionPool
from whinrack.store import ObjectStore

__all__ = ["FeedPlan", "choose_watchers"]

# Instances of each data hall that follow the store for the others.
_WATCHERS_OF_A_HALL = 2
# For so long a peer that didn't answer isn't asked again, seconds.
_AVOID_SECONDS = 3.0


def choose_watchers(states: list[PeerState], hall: str) -> list[PeerState]:
    """Return the instances of a data hall that follow the store for the others there.

    Parameters
    ----------
    states : list of PeerState
        All instances that look alive.
    """
    here = [state for state in states if state.data_hall == hall]
    reaching = [state for state in here if state.store_answers and state.ready]
    wide = prefer_strong(reaching or here)
    by_name = {state.sender.name: state for state in wide}
    ordered = rendezvous(f"watch/{hall}", by_name)
    return [by_name[name] for name in ordered[:_WATCHERS_OF_A_HALL]]


class FeedPlan(SourcePlan):
    """In a large fleet some instances follow the store, and feed the others.

    An instance without a peer that would feed it follows the store itself, and so does
    each while the fleet is small.

    Parameters
    ----------
    store : ObjectStore
    contact : StoreContact
    own_state : callable
        Returns what this instance says of itself.
    peers : PeerTable
    moved : callable, optional
        See `ask_peer`.
    """

    def __init__(
        self,
        store: ObjectStore,
        contact: StoreContact,
        own_state: Callable[[], PeerState],
        peers: PeerTable,
        moved: Callable[[str, HostPort, int], None] | None = None,
    ):
        super().__init__(store)
        self.contact = contact
        self.own_state = own_state
        self.peers = peers
        self.moved = moved
        self._connections = ConnectionPool()
        self._avoided: dict[HostPort, float] = {}

    def source(self) -> FollowedSource:
        """Return whom to ask next."""
        if self.peers.is_mesh:
            return FollowedSource(self.store)
        feeder = self._feeder(time.monotonic())
        if feeder is None:
            return FollowedSource(self.store)
        address = feeder.sender.address
        return FollowedSource(PeerFeed(address, self._connections, self.moved), address)

    def failed(self, source: FollowedSource) -> None:
        """Learn that a peer didn't answer."""
        self._avoided[source.address] = time.monotonic() + _AVOID_SECONDS

    def behind(self, source: FollowedSource) -> None:
        """Leave a peer that passes on old knowledge though it says that it reaches the store.

        One that says that it lost the store is kept: others are chosen as watchers by that
        word already, and in an outage for all there is nobody better.
        """
        live = self.peers.live(time.monotonic())
        states = {view.state.sender.address: view.state for view in live}
        state = states.get(source.address)
        if state is None or state.store_answers:
            self.failed(source)

    def _feeder(self, now: float) -> PeerState | None:
        """Return the peer that feeds this instance, None if it follows the store."""
        own = self.own_state()
        states = [view.state for view in self.peers.live(now)]
        watchers = choose_watchers([*states, own], own.data_hall)
        if own in watchers:
            return None
        usable = {
            state.sender.name: state
            for state in watchers
            if self._avoided.get(state.sender.address, 0.0) <= now
        }
        if not usable:
            return None
        return usable[rendezvous(own.sender.name, usable)[0]]
