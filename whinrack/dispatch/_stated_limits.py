"""The requests a second that targets in need say they take. Decisions only, no I/O.

A target says so in its answers, for all instances together and for as long as it says so; an
answer without such a word takes it back. Few instances send to it then, so the others learn from
these what it says. Words come late, in any order and more than once: from answers that were long on
their way, from peers that were cut off, and back from peers that had them from here.
"""

import math
from collections.abc import Callable, Iterable

import msgspec
import xxhash

from whinrack.clock import steady
from whinrack.dispatch._rate_bounds import RateBound

__all__ = ["NO_LIMIT", "LimitChange", "LimitReport", "StatedLimits", "stated_rate_bound"]

# Stands for the word of a target that states no limit.
NO_LIMIT = math.inf

# In any window of so many seconds, so many times what the limit allows and some requests more may
# reach a target.
_WINDOW_SECONDS = 4.0
_OVERAGE = 1.5
_SLACK = 5.0
_UTILIZATION = 0.68
_MAX_BURST = 1.25
# A target that takes nothing, or hardly anything, is sent a request after so long all the same:
# only its answer tells that the limit has ended.
_MIN_RATE = 0.2
# While others have room a limited target gets a request where it has said nothing for so long.
_PROBE_INTERVAL_SECONDS = 2.0
# A word that nobody heard again for so long says nothing any more, also that a limit has ended.
_EXPIRY_SECONDS = 60.0
# Targets whose words are kept, the latest ones: all of the largest fleet known, several times.
_MAX_LIMITS = 500
# Words in one heartbeat, some 50 bytes each. With more targets limited at once they take turns.
_MAX_REPORTS_PER_HEARTBEAT = 16
# A word that was only confirmed counts as told so often: news goes first.
_TIMES_SENT_IF_CONFIRMED = 3


def stated_rate_bound(rate: float) -> RateBound:
    """Return the bound of a target that states a limit, requests a second."""
    max_requests = _OVERAGE * rate * _WINDOW_SECONDS + _SLACK
    return RateBound(
        max(rate, _MIN_RATE), max_requests, _WINDOW_SECONDS, _UTILIZATION, _MAX_BURST, True
    )


class LimitReport(msgspec.Struct, frozen=True, array_like=True):
    """What a target stated, as instances tell it each other.

    Attributes
    ----------
    target : str
        Identity of the target's start.
    rate : float
        Requests a second; `NO_LIMIT` if it states none.
    hearer : int
        Short name of the run that had the answer.
    number : int
        Of the word among those that this run has heard.
    age : float
        Seconds since it was heard.
    """

    target: str
    rate: float
    observer: int
    sequence: int
    age: float


class LimitChange(msgspec.Struct, frozen=True):
    """A limit that became known, changed or ended.

    Attributes
    ----------
    target : str
        Identity of the target's start.
    before, rate : float
        Requests a second; `NO_LIMIT` for none.
    source : str
        "answer", "silence" or the peer that told it.
    age : float
        Seconds since the target said it.
    request : str
        The request whose answer said so, if it was sent from here.
    """

    target: str
    previous_rate: float
    rate: float
    source: str
    age: float = 0.0
    request: str = ""


class _KnownLimit:
    """The latest word of one target."""

    def __init__(self, rate: float, stated_at: float, observer: int, sequence: int):
        self.rate = rate
        self.stated_at = stated_at
        self.observer = observer
        self.sequence = sequence
        # Heartbeats that have told it.
        self.times_sent = 0

    def is_same_observation(self, report: LimitReport) -> bool:
        """Whether a peer tells this very word."""
        return (self.observer, self.sequence) == (report.observer, report.sequence)


class StatedLimits:
    """The limits that targets have stated, by the identities of their starts.

    Parameters
    ----------
    run : str, optional
        This run of the instance.
    clock : callable, optional
        The steady clock, replaced in tests.

    Attributes
    ----------
    callback : list of callable
        Called with each `LimitChange`.
    """

    def __init__(self, run: str = "", clock: Callable[[], float] = steady):
        self.clock = clock
        self.on_change: list[Callable[[LimitChange], None]] = []
        self._observer = xxhash.xxh32_intdigest(run.encode())
        self._sequence = 0
        self._known: dict[str, _KnownLimit] = {}

    def rate(self, target: str) -> float:
        """Return the requests a second that a target takes, `NO_LIMIT` if it states none."""
        known = self._known.get(target)
        return NO_LIMIT if known is None else known.rate

    @property
    def is_empty(self) -> bool:
        """Whether no target has stated anything."""
        return not self._known

    def limited_targets(self) -> list[str]:
        """Return the identities of the targets that state a limit."""
        return [target for target, known in self._known.items() if known.rate != NO_LIMIT]

    def silent_seconds(self, target: str) -> float:
        """Return for how many seconds a target that states a limit has said nothing."""
        known = self._known.get(target)
        return 0.0 if known is None else max(0.0, self.clock() - known.stated_at)

    def is_probe_due(self, target: str) -> bool:
        """Whether a target that states a limit should be sent a request to learn if it holds."""
        return self.silent_seconds(target) >= _PROBE_INTERVAL_SECONDS

    def record_answer(self, target: str, rate: float, sent_at: float, request: str = "") -> None:
        """Take in what an answer of a target said.

        Parameters
        ----------
        sent_at : float
            When the request was sent, steady clock. A word that takes more than the one before
            counts from then: the answer may have been made before that word, and come after it.
        """
        if rate == NO_LIMIT and self.rate(target) == NO_LIMIT:
            # Confirmed by each answer, the end of a limit would go before a new limit that a peer
            # has heard meanwhile, and would be told for ever.
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
        """Take in what a peer tells; the latest word of a target wins."""
        for report in reports:
            if report.rate >= 0.0 and 0.0 <= report.age <= _EXPIRY_SECONDS:
                self._merge(report, peer)

    def _merge(self, report: LimitReport, peer: str) -> None:
        at = self.clock() - report.age
        known = self._known.get(report.target)
        if known is not None and known.is_same_observation(report):
            # The way from peer to peer makes a word look younger, never older.
            known.stated_at = min(known.stated_at, at)
        elif known is None or at > known.stated_at:
            self._store(
                report.target, _KnownLimit(report.rate, at, report.observer, report.sequence), peer
            )

    def next_reports(self) -> list[LimitReport]:
        """Return some words for the next heartbeat, those told least often first."""
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
        """Drop the words that nobody heard again for long."""
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
