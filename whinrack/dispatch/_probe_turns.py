"""Turns in which instances probe a target with a very low rate limit; pure logic without I/O.

Such a target takes one request every few seconds from all instances together, which cannot be
divided into shares that are used evenly. Instead, the instances take turns: the longer the target
has stated nothing, the later in its rendezvous order is the instance whose turn it is. An answer to
one probe reaches the other instances before their turns and starts the order anew, so that usually
only the first instance with callers probes.
"""

from collections import OrderedDict

__all__ = ["PROBE_RATE", "ProbeTurns"]

# Silence of a target before the first turn, and the time from one turn to the next. A statement
# reaches all instances of a large fleet within a turn.
_FIRST_TURN_SECONDS = 2.0
_TURN_SECONDS = 2.3
# While instances are missing, another part of the fleet may probe as well. Turns are then longer,
# and a probe may begin only in their first part, so that each part of the fleet begins at most two
# within 4 s, even if the target answers none.
_PARTITIONED_TURN_SECONDS = 2.8
_PARTITIONED_OPEN_SECONDS = 1.6
# Probes per second of a target that answers.
PROBE_RATE = 1.0 / _FIRST_TURN_SECONDS
# Targets whose latest probe is remembered.
_MAX_TARGETS = 5000


class ProbeTurns:
    """One instance's turns to probe targets."""

    def __init__(self):
        self._probed_at: OrderedDict[str, float] = OrderedDict()

    def has_turn(
        self,
        target: str,
        position: int,
        members: int,
        is_complete: bool,
        silent_seconds: float,
        now: float,
    ) -> bool:
        """Return whether this instance may probe a target now.

        Parameters
        ----------
        target : str
        position : int
            Position of this instance in the rendezvous order of the target.
        members : int
            Number of instances that take turns.
        is_complete : bool
            Whether no instance is missing.
        silent_seconds : float
            Seconds since the target last stated its limit.
        now : float
            Steady clock time in seconds.
        """
        turn_seconds = _TURN_SECONDS if is_complete else _PARTITIONED_TURN_SECONDS
        turn, seconds = divmod(silent_seconds - _FIRST_TURN_SECONDS, turn_seconds)
        if turn < 0 or int(turn) % members != position:
            return False
        if not is_complete and seconds >= _PARTITIONED_OPEN_SECONDS:
            return False
        # One probe in each turn: after an answer the silence is shorter than the time since.
        since_probe = now - self._probed_at.get(target, float("-inf"))
        return since_probe >= min(silent_seconds, turn_seconds)

    def record_probe(self, target: str, now: float) -> None:
        """Record that this instance probes a target."""
        self._probed_at[target] = now
        self._probed_at.move_to_end(target)
        if len(self._probed_at) > _MAX_TARGETS:
            self._probed_at.popitem(last=False)
