"""Whether this instance can still connect to peers; pure logic without I/O.

Load: all requests of an instance that is cut off from targets and peers in the direction of its own
connections. Each one would wait for several connection timeouts before it is refused.
"""

import math

__all__ = ["PeerContact"]

# Peers that must fail while none answers: a few may have ended or be cut off themselves.
_MIN_FAILED_PEERS = 3
# Age up to which a failed connection counts, seconds.
_FAILURE_LIFETIME_SECONDS = 2.0
# Interval between trials while no peer can be reached, seconds.
_TRIAL_INTERVAL_SECONDS = 0.5


class PeerContact:
    """Records connections to peers and limits further ones while all fail."""

    def __init__(self):
        self._failed_at: dict[str, float] = {}
        self._tried_at = -math.inf
        self._is_known_lost = False

    def record_answer(self) -> bool:
        """Record that a peer has answered; return whether contact had been lost before."""
        was_lost, self._is_known_lost = self._is_known_lost, False
        self._failed_at.clear()
        return was_lost

    def record_failure(self, peer: str, now: float) -> bool:
        """Record that no connection to a peer could be opened.

        Parameters
        ----------
        peer : str
            Name of the peer.
        now : float
            Monotonic clock, in seconds.

        Returns
        -------
        bool
            Whether contact is lost with this failure and was not before.
        """
        fresh = self.failed_peers(now)
        self._failed_at = {name: self._failed_at[name] for name in fresh} | {peer: now}
        is_new = self.is_lost(now) and not self._is_known_lost
        self._is_known_lost |= is_new
        return is_new

    def failed_peers(self, now: float) -> list[str]:
        """Return the names of the peers that failed lately, in alphabetical order."""
        return sorted(
            peer for peer, at in self._failed_at.items() if now - at < _FAILURE_LIFETIME_SECONDS
        )

    def is_lost(self, now: float) -> bool:
        """Return whether several peers failed lately, and none has answered since."""
        return len(self.failed_peers(now)) >= _MIN_FAILED_PEERS

    def take_trial(self, now: float) -> bool:
        """Return whether a peer may be tried now although contact is lost."""
        if now - self._tried_at < _TRIAL_INTERVAL_SECONDS:
            return False
        self._tried_at = now
        return True
