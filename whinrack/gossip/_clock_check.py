"""Compares this machine's time of day with that of its peers. Decisions only, no I/O."""

from collections import deque

__all__ = ["ClockCheck"]

# Heartbeats of a peer that are compared; the one that was under way the shortest counts.
_SAMPLES_PER_PEER = 4
# A peer's word on the time is used for so long, seconds.
_SAMPLE_LIFETIME_SECONDS = 2.0
# Clocks that differ by no more than this agree, seconds.
_TOLERANCE_SECONDS = 0.15
_MIN_AGREEING_PEERS = 2


class _PeerClock:
    """The differences between a peer's time of day and the steady clock here."""

    def __init__(self):
        self.offsets: deque[float] = deque(maxlen=_SAMPLES_PER_PEER)
        self.updated_at = float("-inf")

    def record(self, wall: float, steady: float) -> None:
        self.offsets.append(wall - steady)
        self.updated_at = steady

    @property
    def offset(self) -> float:
        """The least delayed one: a delay makes a peer's time look earlier."""
        return max(self.offsets)


class ClockCheck:
    """Tells whether this machine's time of day has jumped, or its peers' have.

    Notes
    -----
    The own clock is trusted when most peers heard lately, and two at least, agree with
    it. What it can't see is that most clocks jump by the same amount at the same time.
    Late heartbeats only make it doubt.
    """

    def __init__(self):
        self._clocks: dict[str, _PeerClock] = {}

    def record_peer_time(self, peer: str, wall: float, steady: float) -> None:
        """Take in a peer's time of day from a heartbeat that has just arrived."""
        self._clocks.setdefault(peer, _PeerClock()).record(wall, steady)

    def is_confirmed_by_peers(self, wall: float, steady: float) -> bool:
        """Whether most peers agree with the time of day here."""
        own_offset = wall - steady
        fresh = [
            clock
            for clock in self._clocks.values()
            if steady - clock.updated_at <= _SAMPLE_LIFETIME_SECONDS
        ]
        agreeing = sum(abs(clock.offset - own_offset) <= _TOLERANCE_SECONDS for clock in fresh)
        is_majority = agreeing + 1 > (len(fresh) + 1) / 2
        return is_majority and agreeing >= _MIN_AGREEING_PEERS
