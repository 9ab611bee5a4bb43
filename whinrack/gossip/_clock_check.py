"""Check of the local wall clock against the clocks of peers; it does no I/O."""

from collections import deque

__all__ = ["ClockCheck"]

# Clock samples kept for each peer; the one with the shortest network delay is used.
_SAMPLES_PER_PEER = 4
# Seconds after which a peer's samples are no longer used.
_SAMPLE_LIFETIME_SECONDS = 2.0
# Maximum difference between clocks that agree, seconds.
_TOLERANCE_SECONDS = 0.15
_MIN_AGREEING_PEERS = 2


class _PeerClock:
    """Samples of the offset between a peer's wall clock and the local steady clock."""

    def __init__(self):
        self.offsets: deque[float] = deque(maxlen=_SAMPLES_PER_PEER)
        self.updated_at = float("-inf")

    def record(self, wall: float, steady: float) -> None:
        """Add a sample from a heartbeat that has just arrived."""
        self.offsets.append(wall - steady)
        self.updated_at = steady

    @property
    def offset(self) -> float:
        """The maximum of the samples: network delay makes a peer's clock appear to be behind."""
        return max(self.offsets)


class ClockCheck:
    """Detects jumps of the local wall clock by comparing it with the clocks of peers.

    Notes
    -----
    The local clock is trusted if most of the peers heard recently, and at least two, agree with
    it. A simultaneous jump of most clocks by the same amount is not detected. Delayed heartbeats
    only cause the local clock to be distrusted.
    """

    def __init__(self):
        self._clocks: dict[str, _PeerClock] = {}

    def record_peer_time(self, peer: str, wall: float, steady: float) -> None:
        """Record a peer's wall clock from a heartbeat that has just arrived.

        Parameters
        ----------
        peer : str
            Name of the peer.
        wall : float
            The peer's time of day, seconds since the epoch.
        steady : float
            Local steady clock at arrival, seconds.
        """
        self._clocks.setdefault(peer, _PeerClock()).record(wall, steady)

    def is_confirmed_by_peers(self, wall: float, steady: float) -> bool:
        """Return whether most peers agree with the local wall clock."""
        own_offset = wall - steady
        fresh = [
            clock
            for clock in self._clocks.values()
            if steady - clock.updated_at <= _SAMPLE_LIFETIME_SECONDS
        ]
        agreeing = sum(abs(clock.offset - own_offset) <= _TOLERANCE_SECONDS for clock in fresh)
        is_majority = agreeing + 1 > (len(fresh) + 1) / 2
        return is_majority and agreeing >= _MIN_AGREEING_PEERS
