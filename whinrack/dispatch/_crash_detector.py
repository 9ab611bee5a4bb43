"""Detection of target crashes after answers that were cut off and connections that were refused."""

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

# Delay from a cut answer to the probe of the target's address. A process that ends closes all its
# sockets within a few milliseconds, and none has restarted in less than a second.
_PROBE_DELAY_SECONDS = 0.05
# Connection timeout of the probe.
_PROBE_TIMEOUT_SECONDS = 0.3
# Duration and interval of the checks after an inconclusive probe. The record of a target that has
# ended expires after three heartbeats of 1.2 s, and a new start writes its own record.
_RECHECK_SECONDS = 6.0
_RECHECK_INTERVAL_SECONDS = 0.25
# Time in which peers can tell that they reach a target that seems to have ended.
_OBJECTION_SECONDS = 0.25
# Time in which a pool becomes suspected or lost if its path causes the refusals.
_PATH_CHECK_SECONDS = 0.2


class Presence(StrEnum):
    """Result of probing a target's address."""

    HERE = "here"
    ENDED = "ended"
    UNKNOWN = "unknown"


def probe_address(address: tuple[str, int], seconds: float = _PROBE_TIMEOUT_SECONDS) -> Presence:
    """Probe an address by opening and closing a connection."""
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
    """Reports targets that crashed while running requests to the quarantine.

    Corrupted answers and resets from targets that keep running, broken links, and targets that
    announced that they leave do not count, since they are no evidence against the requests.

    Parameters
    ----------
    registry : TargetRegistry
    guard : RunGuard
    probe_address : callable, optional
        Returns the presence of a target at an address.
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
        # Requests whose answers were cut, collected for one probe per target.
        self._cut_requests: dict[TargetState, list[RequestSignature]] = {}
        self._refusing_targets: set[TargetState] = set()

    def record_refused(self, state: TargetState) -> None:
        """Record that a target refused a connection; its end is reported if others are reached.

        An instance whose path is broken may be refused by all targets though none has ended.
        """
        state.record_refused(self.registry.clock())
        if state not in self._refusing_targets:
            self._refusing_targets.add(state)
            eventlet.spawn_n(self._report_refused, state)

    def _report_refused(self, state: TargetState) -> None:
        reachability, pool, began_at = self.registry.reachability, state.record.pool, steady()
        eventlet.sleep(_PATH_CHECK_SECONDS)
        while reachability.is_suspected(pool) and steady() - began_at < _RECHECK_SECONDS:
            eventlet.sleep(_RECHECK_INTERVAL_SECONDS)
        self._refusing_targets.discard(state)
        has_answered_since = state.refused_at == float("-inf")
        if not reachability.is_lost(pool) and not has_answered_since:
            self.registry.record_ended(state)

    def record_cut(self, state: TargetState, request: RequestSignature) -> None:
        """Record that a target cut off the answer to a request, and probe the target."""
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
        while not self._is_ended(state, presence) and steady() - cut_at < _RECHECK_SECONDS:
            eventlet.sleep(_RECHECK_INTERVAL_SECONDS)
            presence = self._recheck(state, presence, known_identities)
        record = state.record
        is_brittle = self.registry.brittle_targets.is_brittle(state)
        if presence is Presence.ENDED and not self._is_ended(state, presence):
            presence = Presence.UNKNOWN
        log_event(
            Event.TARGET_CUT,
            target=record.incarnation,
            started=record.started,
            presence=presence,
            cut=len(requests),
            after=round(steady() - cut_at, 3),
        )
        if presence is Presence.ENDED:
            # Spares other requests a failed connection.
            state.record_unreachable(steady())
            self.registry.record_ended(state)
            if self._has_only_broken_path(state, known_identities):
                return
        if presence is Presence.ENDED and not is_brittle:
            # A brittle target falls over because of refused requests, not of those that it runs.
            self.guard.record_target_end(TargetEnd(record.incarnation, record.started), requests)

    def _is_ended(self, state: TargetState, presence: Presence) -> bool:
        """Return whether a target has ended, and not the path to all targets of its pool."""
        is_lost = self.registry.reachability.is_lost(state.record.pool)
        return presence is Presence.ENDED and not is_lost

    def _has_only_broken_path(self, state: TargetState, known_identities: set[str]) -> bool:
        """Return whether peers reach a target that refuses connections from here."""
        if self._is_succeeded(state, known_identities) or state.is_removed:
            return False
        reported_at = self.registry.clock()
        eventlet.sleep(_OBJECTION_SECONDS)
        return self.registry.is_refuted(state, reported_at)

    def _is_succeeded(self, state: TargetState, known_identities: set[str]) -> bool:
        """Return whether a later start, or another target, has the target's address."""
        return state.is_replaced or bool(
            self.registry.identities_at_address(state.address) - known_identities
        )

    def _presence(self, state: TargetState) -> Presence:
        with state.counted_check():
            presence = self.probe_address(state.address)
        if presence is Presence.ENDED and state.in_flight:
            # A running target with too many connections refuses further ones as well.
            return Presence.UNKNOWN
        return presence

    def _recheck(
        self, state: TargetState, previous: Presence, known_identities: set[str]
    ) -> Presence:
        """Check for later signs of a crash; a suspended instance sees only these.

        A new start may already listen when the address is probed, or the link may fail right
        after the crash.
        """
        if self._is_succeeded(state, known_identities):
            return Presence.ENDED
        if previous is Presence.HERE:
            return previous
        if state.is_removed:
            return Presence.ENDED
        return self._presence(state)
