"""Whether a target that cut requests' answers has ended by itself, or lives on after it."""

from collections.abc import Callable
from enum import StrEnum

import eventlet
from eventlet.green import socket

from whinrack.clock import steady
from whinrack.dispatch._registry import TargetRegistry
from whinrack.dispatch._target_state import TargetState
from whinrack.observability import Event, log_event
from whinrack.quarantine import RequestSignature, RunGuard, TargetEnd

__all__ = ["Presence", "CrashDetector", "probe_address"]

# From a cut until the target's address is tried: a process that ends closes all its sockets within
# a few milliseconds, and none has come back in less than a second.
_PROBE_DELAY_SECONDS = 0.05
# Patience with that one connection.
_PROBE_TIMEOUT_SECONDS = 0.3
# A target whose address told nothing is looked after for so long, so often: its record lapses after
# three heartbeats of 1.2 s, and a new start writes one of its own.
_RECHECK_SECONDS = 6.0
_RECHECK_INTERVAL_SECONDS = 0.25


class Presence(StrEnum):
    """What a target's address says."""

    HERE = "here"
    ENDED = "ended"
    UNKNOWN = "unknown"


def probe_address(address: tuple[str, int], seconds: float = _PROBE_TIMEOUT_SECONDS) -> Presence:
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


class CrashDetector:
    """Tells the quarantine of targets that ended by themselves while they had requests.

    Not counted are spoilt answers and resets of targets that live on, links that are cut, and
    targets that had said that they leave: these tell nothing of the requests.

    Parameters
    ----------
    registry : TargetRegistry
    guard : RunGuard
    probe_address : callable, optional
        Tells the presence at an address.
    """

    def __init__(
        self,
        registry: TargetRegistry,
        guard: RunGuard,
        probe_address: Callable[[tuple[str, int]], Presence] = probe_address,
    ):
        self.registry = registry
        self.guard = guard
        self.probe_address = probe_address
        # Requests that were cut, for one question at each target.
        self._cut_requests: dict[TargetState, list[RequestSignature]] = {}

    def record_cut(self, state: TargetState, request: RequestSignature) -> None:
        """Learn that a target cut the answer to a request."""
        if state.is_leaving and not state.is_replaced:
            return
        if state in self._cut_requests:
            self._cut_requests[state].append(request)
            return
        self._cut_requests[state] = [request]
        known_identities = self.registry.identities_at_address(state.address) | {
            state.record.identity
        }
        eventlet.spawn_n(self._investigate, state, known_identities, steady())

    def _investigate(self, state: TargetState, known_identities: set[str], cut_at: float) -> None:
        eventlet.sleep(_PROBE_DELAY_SECONDS)
        requests = self._cut_requests.pop(state)
        presence = self._presence(state)
        while presence is not Presence.ENDED and steady() - cut_at < _RECHECK_SECONDS:
            eventlet.sleep(_RECHECK_INTERVAL_SECONDS)
            presence = self._recheck(state, presence, known_identities)
        record = state.record
        log_event(
            Event.TARGET_CUT,
            target=record.incarnation,
            started=record.started,
            presence=presence,
            cut=len(requests),
            after=round(steady() - cut_at, 3),
        )
        if presence is Presence.ENDED:
            # Nobody else need find out by a connection that fails.
            state.record_unreachable(steady())
            self.guard.record_target_end(TargetEnd(record.incarnation, record.started), requests)

    def _presence(self, state: TargetState) -> Presence:
        presence = self.probe_address(state.address)
        if presence is Presence.ENDED and state.in_flight:
            # A target that has too many connections refuses more, and goes on with its work.
            return Presence.UNKNOWN
        return presence

    def _recheck(
        self, state: TargetState, previous: Presence, known_identities: set[str]
    ) -> Presence:
        """Look for later signs of an end; an instance that was asleep sees only these.

        A new start may listen by the time that the address is tried, or a link may be cut
        right after the target's end.
        """
        if (
            state.is_replaced
            or self.registry.identities_at_address(state.address) - known_identities
        ):
            return Presence.ENDED
        if previous is Presence.HERE:
            return previous
        if state.is_removed:
            return Presence.ENDED
        return self._presence(state)
