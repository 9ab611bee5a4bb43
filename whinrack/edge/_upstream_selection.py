"""Who follows the store itself, and who is fed by a peer that does."""

import math
from collections.abc import Callable

import eventlet

from whinrack.base import rendezvous
from whinrack.clock import steady
from whinrack.edge._kind_follower import Upstream, UpstreamSelector
from whinrack.edge._options import HostPort
from whinrack.edge._relay import PeerStore
from whinrack.edge._store_availability import StoreAvailability
from whinrack.gossip import PeerState, PeerTable, prefer_high_capacity
from whinrack.http1 import ConnectionPool
from whinrack.store import ObjectStore

__all__ = ["FleetUpstreamSelector", "choose_relays", "choose_store_halls"]

# Instances of each data hall that feed the others. The first of them follows the store, or another
# hall's; the second is fed by it, and takes its place as soon as the first one doesn't answer.
_RELAYS_PER_HALL = 2
# For so many instances one data hall follows the store; the other halls are fed by it. With each
# hall following, 24 instances in five halls made 1,304 calls in a day of 68 s, and 718 with two.
_INSTANCES_PER_STORE_HALL = 40
# At least, since only instances that the store answered lately write the books.
_MIN_STORE_HALLS = 2
# For so long a peer that didn't answer isn't asked again, seconds.
_AVOID_SECONDS = 3.0
# Between two looks at whether peers are known.
_POLL_SECONDS = 0.02


def choose_relays(states: list[PeerState], hall: str) -> list[PeerState]:
    """Return the instances of a data hall that feed the others there, in order.

    While the store answers nobody, the choice doesn't depend on who has noticed that: else one
    instance after the other takes over, asks the store in vain and counts it as lost: 5,854
    changes of source and 1,083 watches that failed in two outages of 8 s for 195 instances.

    Parameters
    ----------
    states : list of PeerState
        All instances that look alive.
    """
    here = [state for state in states if state.data_hall == hall]
    ready = [state for state in here if state.ready] or here
    if any(state.store_confirmed for state in states):
        ready = [state for state in ready if state.store_answers] or ready
    by_name = {state.sender.name: state for state in prefer_high_capacity(ready)}
    ordered = rendezvous(f"watch/{hall}", by_name)
    return [by_name[name] for name in ordered[:_RELAYS_PER_HALL]]


def choose_store_halls(states: list[PeerState]) -> list[str]:
    """Return the data halls whose first feeders follow the store, in a fixed order.

    Parameters
    ----------
    states : list of PeerState
        All instances that look alive.
    """
    halls = {state.data_hall for state in states}
    if any(state.store_confirmed for state in states):
        halls = {state.data_hall for state in states if state.store_answers} or halls
    count = max(_MIN_STORE_HALLS, math.ceil(len(states) / _INSTANCES_PER_STORE_HALL))
    return rendezvous("following halls", halls)[:count]


class FleetUpstreamSelector(UpstreamSelector):
    """In a large fleet one instance of each data hall feeds the others there.

    It follows the store itself, or in a fleet of some tens is fed by one in another hall that does.
    An instance without a peer that would feed it follows the store itself, and so does
    each while the fleet is small.

    Parameters
    ----------
    store : ObjectStore
    availability : StoreContact
    own_state : callable
        Returns what this instance says of itself.
    peers : PeerTable
    on_transfer : callable, optional
        See `ask_peer`.
    settle_seconds : float, optional
        Time after the start in which peers may make themselves known; until then the store
        isn't asked.
    """

    def __init__(
        self,
        store: ObjectStore,
        availability: StoreAvailability,
        own_state: Callable[[], PeerState],
        peers: PeerTable,
        on_transfer: Callable[[str, HostPort, int], None] | None = None,
        settle_seconds: float = 0.0,
    ):
        super().__init__(store)
        self.availability = availability
        self.own_state = own_state
        self.peers = peers
        self.on_transfer = on_transfer
        self.settle_seconds = settle_seconds
        self._connections = ConnectionPool()
        self._avoided_until: dict[HostPort, float] = {}
        self._halls_avoided_until: dict[str, float] = {}
        self._store_preferred_until = float("-inf")

    def wait_for_peers(self) -> None:
        """Wait until the peers are known, or so much time has passed that there may be none.

        Without it each instance of a large fleet follows the store itself at first: 3,670 of
        6,503 calls of a day for 195 instances were watches and lists of its first 20 s.
        """
        end = steady() + self.settle_seconds
        while self.peers.is_full_mesh and steady() < end:
            eventlet.sleep(_POLL_SECONDS)

    def is_store_likely_available(self) -> bool:
        """Whether a peer has heard from the store lately."""
        return bool(self.peers.peers_with_store(steady()))

    def select(self) -> Upstream:
        """Return whom to ask next."""
        now = steady()
        if self.peers.is_full_mesh or (
            self.availability.is_available and now < self._store_preferred_until
        ):
            return Upstream(self.store)
        relay = self._choose_relay(now)
        if relay is None:
            return Upstream(self.store)
        address = relay.sender.address
        return Upstream(PeerStore(address, self._connections, self.on_transfer), address)

    def report_failure(self, upstream: Upstream) -> None:
        """Learn that a peer didn't answer; another hall's may be cut off with all of that hall."""
        now = steady()
        self._avoided_until[upstream.address] = now + _AVOID_SECONDS
        hall = self._data_hall_of(upstream.address, now)
        if hall is not None and hall != self.own_state().data_hall:
            self._halls_avoided_until[hall] = now + _AVOID_SECONDS

    def report_stale(self, upstream: Upstream) -> None:
        """Leave a peer that passes on old knowledge though it says that it reaches the store.

        One that says that it lost the store is kept: others are chosen as watchers by that
        word already, and in an outage for all there is nobody better.
        """
        live = self.peers.live_peers(steady())
        states = {view.state.sender.address: view.state for view in live}
        state = states.get(upstream.address)
        if state is None or state.store_answers:
            self.report_failure(upstream)

    def prefer_store(self) -> None:
        """Follow the store for a while; others that can't reach it are fed from here then."""
        self._store_preferred_until = steady() + _AVOID_SECONDS

    def _choose_relay(self, now: float) -> PeerState | None:
        """Return the peer that feeds this instance, None if it follows the store."""
        own = self.own_state()
        states = [view.state for view in self.peers.live_peers(now)]
        usable = [
            state for state in states if self._avoided_until.get(state.sender.address, 0.0) <= now
        ]
        relays = {
            state.sender.name: state for state in choose_relays([*usable, own], own.data_hall)
        }
        first = next(iter(relays.values()))
        if first is own:
            return self._choose_remote_relay([*usable, own], own.data_hall, now)
        if own.sender.name in relays:
            return first
        return relays[rendezvous(own.sender.name, relays)[0]]

    def _choose_remote_relay(
        self, states: list[PeerState], own_hall: str, now: float
    ) -> PeerState | None:
        """Return who feeds the first feeder of this hall, None if that one follows the store."""
        halls = choose_store_halls(states)
        if own_hall in halls:
            return None
        for hall in rendezvous(own_hall, halls):
            if self._halls_avoided_until.get(hall, 0.0) <= now:
                return choose_relays(states, hall)[0]
        return None

    def _data_hall_of(self, address: HostPort, now: float) -> str | None:
        """Return the data hall of the live peer at an address, None if there is none."""
        halls = {
            view.state.sender.address: view.state.data_hall for view in self.peers.live_peers(now)
        }
        return halls.get(address)
