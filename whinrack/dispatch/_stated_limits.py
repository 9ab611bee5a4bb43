"""Rate limits that overloaded targets state in their answers; pure logic without I/O.

A limit applies to all instances together until an answer of the target states no limit. Few
instances send to a limited target, so these report its limit to the others. Reports may arrive
late, out of order and repeatedly: from delayed answers, from peers that were disconnected, or
echoed by peers that received them from this instance.
"""

import math
from collections.abc import Callable, Iterable

import msgspec
import xxhash

from whinrack.clock import steady
from whinrack.dispatch._probe_turns import PROBE_RATE
from whinrack.dispatch._rate_bounds import RateBound

__all__ = ["NO_LIMIT", "LimitChange", "LimitReport", "StatedLimits", "stated_rate_bound"]

# The rate of a target that states no limit.
NO_LIMIT = math.inf

# In any window of _WINDOW_SECONDS, a target may receive _OVERAGE times what its limit allows plus
# _SLACK requests.
_WINDOW_SECONDS = 4.0
_OVERAGE = 1.5
_SLACK = 5.0
_UTILIZATION = 0.68
_MAX_BURST = 1.25
# Limits up to this rate, in requests per second, are too low to be shared. Such targets are probed
# even if they state a limit of 0: only their answers reveal that the limit has ended.
_MAX_PROBED_RATE = 0.5
# While other targets have capacity, a limited target is probed after this time without a statement.
_PROBE_INTERVAL_SECONDS = 2.0
# Time after which an unconfirmed statement is dropped, also the statement that a limit has ended.
_EXPIRY_SECONDS = 60.0
# Targets whose statements are kept, the latest ones: several times the largest known fleet.
_MAX_LIMITS = 500
# Reports in one heartbeat, about 50 bytes each. If more targets are limited, they take turns.
_MAX_REPORTS_PER_HEARTBEAT = 16
# An unchanged limit counts as sent this often, so that changes are sent first.
_TIMES_SENT_IF_CONFIRMED = 3


def stated_rate_bound(rate: float) -> RateBound:
    """Return the bound of a target that states a limit in requests per second."""
    is_probed = rate <= _MAX_PROBED_RATE
    return RateBound(
        rate=PROBE_RATE if is_probed else rate,
        max_requests=_OVERAGE * rate * _WINDOW_SECONDS + _SLACK,
        window_seconds=_WINDOW_SECONDS,
        utilization=_UTILIZATION,
        max_burst=_MAX_BURST,
        can_use_full_rate=True,
        is_probed=is_probed,
    )


class LimitReport(msgspec.Struct, frozen=True, array_like=True):
    """A target's stated limit as reported between instances.

    Attributes
    ----------
    target : str
        Identity of the target.
    rate : float
        Requests per second, `NO_LIMIT` if the target states none.
    observer : int
        Short hash of the process that received the answer.
    sequence : int
        Sequence number of the statement at the observer.
    age : float
        Seconds since the answer was received.
    """

    target: str
    rate: float
    observer: int
    sequence: int
    age: float


class LimitChange(msgspec.Struct, frozen=True):
    """A stated limit that was added, changed or ended.

    Attributes
    ----------
    target : str
        Identity of the target.
    previous_rate, rate : float
        Requests per second, `NO_LIMIT` for none.
    source : str
        "answer", "silence" or the name of the peer that reported it.
    age : float
        Seconds since the target stated it.
    request : str
        Id of the request whose answer stated it, if this instance sent it.
    """

    target: str
    previous_rate: float
    rate: float
    source: str
    age: float = 0.0
    request: str = ""


class _KnownLimit:
    """The latest statement of one target."""

    def __init__(self, rate: float, stated_at: float, observer: int, sequence: int):
        self.rate = rate
        self.stated_at = stated_at
        self.observer = observer
        self.sequence = sequence
        # Number of heartbeats that have contained it.
        self.times_sent = 0

    def is_same_observation(self, report: LimitReport) -> bool:
        """Return whether a report originates from the same answer."""
        return (self.observer, self.sequence) == (report.observer, report.sequence)


class StatedLimits:
    """Limits that targets have stated, by target identity.

    Parameters
    ----------
    run : str, optional
        Name of this process, unique for each start of the instance.
    clock : callable, optional
        Monotonic clock, replaced in tests.

    Attributes
    ----------
    on_change : list of callable
        Called with each `LimitChange`.
    """

    def __init__(self, run: str = "", clock: Callable[[], float] = steady):
        self.clock = clock
        self.on_change: list[Callable[[LimitChange], None]] = []
        self._observer = xxhash.xxh32_intdigest(run.encode())
        self._sequence = 0
        self._known: dict[str, _KnownLimit] = {}

    def rate(self, target: str) -> float:
        """Return a target's limit in requests per second, `NO_LIMIT` if it states none."""
        known = self._known.get(target)
        return NO_LIMIT if known is None else known.rate

    @property
    def is_empty(self) -> bool:
        """Whether no statement of any target is known."""
        return not self._known

    def limited_targets(self) -> list[str]:
        """Return the identities of the targets that state a limit."""
        return [target for target, known in self._known.items() if known.rate != NO_LIMIT]

    def silent_seconds(self, target: str) -> float:
        """Return the seconds since the latest statement of a target."""
        known = self._known.get(target)
        return 0.0 if known is None else max(0.0, self.clock() - known.stated_at)

    def is_probe_due(self, target: str) -> bool:
        """Return whether to probe whether a target's limit still holds."""
        return self.silent_seconds(target) >= _PROBE_INTERVAL_SECONDS

    def record_answer(self, target: str, rate: float, sent_at: float, request: str = "") -> None:
        """Record the limit that an answer stated.

        Parameters
        ----------
        sent_at : float
            Steady clock time at which the request was sent. A higher limit is dated to this
            time, because the answer may have been generated before the previous statement and
            have arrived after it.
        """
        if rate == NO_LIMIT and self.rate(target) == NO_LIMIT:
            # If each answer confirmed the end of a limit, the end would override a newer limit
            # that a peer has received meanwhile, and would be reported forever.
            return
        known = self._known.get(target)
        is_looser = known is not None and rate > known.rate
        at = sent_at if is_looser else self.clock()
        if known is not None and at < known.stated_at:
            return
        self._sequence += 1
        self._store(
            target, _KnownLimit(rate, at, self._observer, self._sequence), "answer", request
        )

    def merge_reports(self, reports: Iterable[LimitReport], peer: str) -> None:
        """Merge the reports of a peer; the latest statement of a target wins.

        Reports with a negative rate or an implausible age are ignored.
        """
        for report in reports:
            if report.rate >= 0.0 and 0.0 <= report.age <= _EXPIRY_SECONDS:
                self._merge(report, peer)

    def _merge(self, report: LimitReport, peer: str) -> None:
        at = self.clock() - report.age
        known = self._known.get(report.target)
        if known is not None and known.is_same_observation(report):
            # Transmission delays make a report look younger than it is, never older.
            known.stated_at = min(known.stated_at, at)
        elif known is None or at > known.stated_at:
            self._store(
                report.target, _KnownLimit(report.rate, at, report.observer, report.sequence), peer
            )

    def next_reports(self) -> list[LimitReport]:
        """Return the reports for the next heartbeat, those sent least often first."""
        chosen = sorted(self._known.items(), key=lambda item: item[1].times_sent)[
            :_MAX_REPORTS_PER_HEARTBEAT
        ]
        for _, known in chosen:
            known.times_sent += 1
        now = self.clock()
        return [
            LimitReport(
                target, known.rate, known.observer, known.sequence, round(now - known.stated_at, 3)
            )
            for target, known in chosen
        ]

    def drop_expired(self) -> None:
        """Drop statements that were not confirmed for a long time."""
        now = self.clock()
        for target, known in list(self._known.items()):
            if now - known.stated_at > _EXPIRY_SECONDS:
                del self._known[target]
                if known.rate != NO_LIMIT:
                    age = now - known.stated_at
                    self._notify(LimitChange(target, known.rate, NO_LIMIT, "silence", age))

    def _store(self, target: str, limit: _KnownLimit, source: str, request: str = "") -> None:
        known = self._known.pop(target, None)
        self._known[target] = limit
        while len(self._known) > _MAX_LIMITS:
            del self._known[next(iter(self._known))]
        before = NO_LIMIT if known is None else known.rate
        if limit.rate == before:
            limit.times_sent = (
                _TIMES_SENT_IF_CONFIRMED
                if known is None
                else min(known.times_sent, _TIMES_SENT_IF_CONFIRMED)
            )
            return
        age = max(0.0, self.clock() - limit.stated_at)
        self._notify(LimitChange(target, before, limit.rate, source, age, request))

    def _notify(self, change: LimitChange) -> None:
        for callback in self.on_change:
            callback(change)
