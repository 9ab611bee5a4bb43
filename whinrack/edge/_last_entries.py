"""Instances that an isolated instance goes on naming to callers; pure logic without I/O."""

import msgspec

from whinrack.gossip import PeerState

__all__ = ["LastEntries"]

# A fleet in which fewer than this share of the instances is heard is partitioned: the loss of all
# others at once is much less likely than the loss of the path to them.
_ISOLATED_SHARE = 0.25
# Up to this fleet size all instances accept callers.
_SMALL_FLEET_INSTANCES = 12


class _Known(msgspec.Struct, frozen=True):
    """State of a ready instance and the monotonic clock time at which it was last heard."""

    state: PeerState
    heard_at: float


class LastEntries:
    """Remembers which instances accepted callers when most of the fleet was last heard.

    An instance that hears nobody would name itself to all callers that ask it. If the fleet is
    partitioned into single instances, callers would spread over all of them, and each would
    have to serve them without the tokens, connections and knowledge of the usual ones.

    Parameters
    ----------
    remembered_seconds : float
        Time after which an instance that is not heard is forgotten.
    """

    def __init__(self, remembered_seconds: float):
        self.remembered_seconds = remembered_seconds
        self._known: dict[str, _Known] = {}

    def update(self, ready: list[PeerState], now: float) -> None:
        """Record the instances that are heard and accept callers."""
        for state in ready:
            self._known[state.sender.name] = _Known(state, now)
        for name in [name for name, known in self._known.items() if self._is_over(known, now)]:
            del self._known[name]

    def forget(self, names: list[str]) -> None:
        """Forget instances that said that they no longer accept callers."""
        for name in names:
            self._known.pop(name, None)

    def candidates(self, ready: list[PeerState]) -> list[PeerState]:
        """Return the instances to choose entries from.

        Parameters
        ----------
        ready : list of PeerState
            States of the instances that are heard and accept callers, this one included.

        Returns
        -------
        list of PeerState
            `ready`, or the remembered instances if most of them fell silent.
        """
        fleet_size = len(self._known)
        if fleet_size <= _SMALL_FLEET_INSTANCES or len(ready) >= _ISOLATED_SHARE * fleet_size:
            return ready
        heard = {state.sender.name for state in ready}
        silent = [known.state for name, known in self._known.items() if name not in heard]
        # This instance is among `ready` while it stops, if it hears nobody.
        return [state for state in (*ready, *silent) if state.ready]

    def _is_over(self, known: _Known, now: float) -> bool:
        return now - known.heard_at > self.remembered_seconds
