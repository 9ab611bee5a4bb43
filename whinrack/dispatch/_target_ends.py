"""Whether a target that cut a request's answer has ended, or lives on after it."""

import time
from collections.abc import Callable
from enum import StrEnum

import eventlet
from eventlet.green import socket

from whinrack.dispatch._registry import TargetState
from whinrack.observability import Event, log_event

__all__ = ["Presence", "TargetEnds", "knock"]

# From a cut until the target's address is tried: a process that ends closes all its sockets within
# a few milliseconds, and none has come back in less than a second.
_KNOCK_AFTER_SECONDS = 0.05
# Patience with that one connection.
_KNOCK_SECONDS = 0.3


class Presence(StrEnum):
    """What a target's address says."""

    HERE = "here"
    ENDED = "ended"
    UNKNOWN = "unknown"


def knock(address: tuple[str, int], seconds: float = _KNOCK_SECONDS) -> Presence:
    """Open a connection to an address and close it again."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.settimeout(seconds)
    try:
        sock.connect(address)
    except ConnectionRefusedError:
        return Presence.ENDED
    except OSError:
        return Presence.UNKNOWN
    finally:
        sock.close()
    return Presence.HERE


class TargetEnds:
    """Looks after each cut whether the target is still there.

    Parameters
    ----------
    knock : callable, optional
        Tells the presence at an address.
    """

    def __init__(self, knock: Callable[[tuple[str, int]], Presence] = knock):
        self.knock = knock
        self._under_way: dict[TargetState, int] = {}

    def cut(self, state: TargetState) -> None:
        """Learn that a target cut an answer; one question is asked for all cuts at once."""
        if state in self._under_way:
            self._under_way[state] += 1
            return
        self._under_way[state] = 1
        eventlet.spawn_n(self._look, state, time.monotonic())

    def _look(self, state: TargetState, cut_at: float) -> None:
        eventlet.sleep(_KNOCK_AFTER_SECONDS)
        presence = self.knock(state.address)
        log_event(
            Event.TARGET_CUT,
            target=state.record.incarnation,
            started=state.record.started,
            presence=presence,
            leaving=state.leaving,
            cut=self._under_way.pop(state),
            after=round(time.monotonic() - cut_at, 3),
        )
