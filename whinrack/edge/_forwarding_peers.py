"""Selection of peers for requests that this instance can't send to targets itself."""

import random
from collections.abc import Callable

import xxhash

from whinrack.clock import steady
from whinrack.dispatch import ForwardingPeer, PeerSelector
from whinrack.gossip import PeerState, PeerTable

__all__ = ["ForwardingPeers", "pool_digest"]

# Time for which a peer that did not take a request is used only if there is no other.
_AVOID_SECONDS = 1.0
# Open requests that are added to the load of peers, so that those without load are not all equal.
_BASE_LOAD = 5.0
# Factor on the load of peers in other data halls: an answer from there takes longer, and links
# between halls are shared.
_OTHER_HALL_FACTOR = 1.5
# Assumed for a peer that does not state its cores.
_DEFAULT_CORES = 0.5


def pool_digest(pool: str) -> int:
    """Return the short hash of a pool's name that heartbeats contain."""
    return xxhash.xxh32_intdigest(pool.encode())


class ForwardingPeers(PeerSelector):
    """Selects peers by what they state in their heartbeats.

    Parameters
    ----------
    table : PeerTable
    fetch_configuration : callable
        Called with the address of a peer that has a newer configuration and its version.
    seed : int, optional
        Seeds the choice between equally loaded peers.
    """

    def __init__(
        self,
        table: PeerTable,
        fetch_configuration: Callable[[tuple[str, int], int], None],
        seed: int | None = None,
    ):
        self.table = table
        self.fetch_configuration = fetch_configuration
        self._random = random.Random(seed)
        self._avoided_until: dict[str, float] = {}

    def candidates(
        self, pool: str, needs_version: bool = False, needs_answer: bool = False
    ) -> list[ForwardingPeer]:
        """Return the live peers that have not lost a pool, the least loaded one first.

        Peers that stop serve requests for some more seconds, and are used if there is no other. So
        are peers that do not know whether they reach the pool. Peers of earlier builds, which
        continue streams at any version, get none that needs one.
        """
        now, digest = steady(), pool_digest(pool)
        states = [
            view.state
            for view in self.table.live_peers(now)
            if view.state.accepts_forwarded
            and digest not in view.state.lost_pools
            and (view.state.keeps_stream_versions or not needs_version)
            and not (needs_answer and digest in view.state.doubted_pools)
        ]
        states.sort(
            key=lambda state: (digest in state.doubted_pools, *self._preference(state, now))
        )
        return [ForwardingPeer(state.sender.name, state.sender.address) for state in states]

    def record_declined(self, peer: ForwardingPeer) -> None:
        """Avoid a peer for some time."""
        now = steady()
        self._avoided_until = {
            name: until for name, until in self._avoided_until.items() if until > now
        }
        self._avoided_until[peer.name] = now + _AVOID_SECONDS

    def record_configuration(self, peer: ForwardingPeer, version: int) -> None:
        """Fetch the configuration of a peer that has a newer one."""
        self.fetch_configuration(peer.address, version)

    def _preference(self, state: PeerState, now: float) -> tuple[bool, bool, bool, float, float]:
        is_avoided = self._avoided_until.get(state.sender.name, now) > now
        # In a large fleet, instances that serve callers have tokens and open connections.
        is_idle = not self.table.is_full_mesh and not state.serving
        load = (state.load + _BASE_LOAD) / (state.cores or _DEFAULT_CORES)
        if not self.table.is_in_own_hall(state):
            load *= _OTHER_HALL_FACTOR
        return not state.ready, is_avoided, is_idle, load, self._random.random()
