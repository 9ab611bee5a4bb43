"""Whether this instance can still connect to peers; pure logic without I/O.

Load: all requests of an instance that is cut off from targets and peers in the direction of its own
connections. Each one would wait for several connection timeouts before it is refused.
"""

import math

__all__ = ["PeerContact"]

# Peers that must fail one after the other: a few may have ended or be cut off themselves.
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

    def record_answer(self) -> None:
        """Record that a peer has answered."""
        self._failed_at.clear()

    def record_failed(self, peer: str, now: float) -> None:
        """Record that no connection to a peer could be opened.

        Parameters
        ----------
        peer : str
            Name of the peer.
        now : float
            Monotonic clock, in seconds.
        """
        self._failed_at[peer] = now

    def failed_peers(self) -> list[str]:
        """Return the names of the peers that failed lately, in alphabetical order."""
        return sorted(self._failed_at)

    def is_lost(self, now: float) -> bool:
        """Return whether several peers failed lately, and none has answered since."""
        self._failed_at = {
            peer: at for peer, at in self._failed_at.items() if now - at < _FAILURE_LIFETIME_SECONDS
        }
        return len(self._failed_at) >= _MIN_FAILED_PEERS

    def may_connect(self, now: float) -> bool:
        """Return whether to try a peer: always, or now and then while contact is lost."""
        if not self.is_lost(now):
            return True
        if now - self._tried_at < _TRIAL_INTERVAL_SECONDS:
            return False
        self._tried_at = now
        return True
