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

__all__ = ["NO_LIMIT", "LimitChange", "LimitReport", "StatedLimits", "stated_bound"]

# Stands for the word of a target that states no limit.
NO_LIMIT = math.inf

# In any window of so many seconds, so many times what the limit allows and some requests more may
# reach a target.
_WINDOW_SECONDS = 4.0
_OVERAGE = 1.5
_SLACK = 5.0
_USED_PART = 0.68
_MOST_DEPTH = 1.25
# A target that takes nothing, or hardly anything, is sent a request after so long all the same:
# only its answer tells that the limit has ended.
_LEAST_RATE = 0.2
# While others have room a limited target gets a request where it has said nothing for so long.
_ASKED_AGAIN_SECONDS = 2.0
# A word that nobody heard again for so long says nothing any more, also that a limit has ended.
_FORGET_SECONDS = 60.0
# Targets whose words are kept, the latest ones: all of the largest fleet known, several times.
_MOST_WORDS = 500
# Words in one heartbeat, some 50 bytes each. With more targets limited at once they take turns.
_MOST_TOLD = 16
# A word that was only confirmed counts as told so often: news goes first.
_TOLD_AS_CONFIRMED = 3


def stated_bound(rate: float) -> RateBound:
    """Return the bound of a target that states a limit, requests a second."""
    most = _OVERAGE * rate * _WINDOW_SECONDS + _SLACK
    return RateBound(max(rate, _LEAST_RATE), most, _WINDOW_SECONDS, _USED_PART, _MOST_DEPTH, True)


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
    number: int
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


class _Known:
    """The latest word of one target."""

    def __init__(self, rate: float, at: float, hearer: int, number: int):
        self.rate = rate
        self.at = at
        self.hearer = hearer
        self.number = number
        # Heartbeats that have told it.
        self.told = 0

    def is_same(self, word: LimitReport) -> bool:
        """Whether a peer tells this very word."""
        return (self.hearer, self.number) == (word.observer, word.number)


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
    changed : list of callable
        Called with each `LimitChange`.
    """

    def __init__(self, run: str = "", clock: Callable[[], float] = steady):
        self.clock = clock
        self.on_change: list[Callable[[LimitChange], None]] = []
        self._run = xxhash.xxh32_intdigest(run.encode())
        self._number = 0
        self._words: dict[str, _Known] = {}

    def rate(self, target: str) -> float:
        """Return the requests a second that a target takes, `NO_LIMIT` if it states none."""
        known = self._words.get(target)
        return NO_LIMIT if known is None else known.rate

    @property
    def is_empty(self) -> bool:
        """Whether no target has stated anything."""
        return not self._words

    def limited_targets(self) -> list[str]:
        """Return the identities of the targets that state a limit."""
        return [target for target, known in self._words.items() if known.rate != NO_LIMIT]

    def silent(self, target: str) -> float:
        """Return for how many seconds a target that states a limit has said nothing."""
        known = self._words.get(target)
        return 0.0 if known is None else max(0.0, self.clock() - known.at)

    def asks_again(self, target: str) -> bool:
        """Whether a target that states a limit should be sent a request to learn if it holds."""
        return self.silent(target) >= _ASKED_AGAIN_SECONDS

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
        known = self._words.get(target)
        is_looser = known is not None and rate > known.rate
        at = sent_at if is_looser else self.clock()
        if known is not None and at < known.at:
            return
        self._number += 1
        self._take(target, _Known(rate, at, self._run, self._number), "answer", request)

    def merge_reports(self, words: Iterable[LimitReport], peer: str) -> None:
        """Take in what a peer tells; the latest word of a target wins."""
        for word in words:
            if word.rate >= 0.0 and 0.0 <= word.age <= _FORGET_SECONDS:
                self._learn(word, peer)

    def _learn(self, word: LimitReport, peer: str) -> None:
        at = self.clock() - word.age
        known = self._words.get(word.target)
        if known is not None and known.is_same(word):
            # The way from peer to peer makes a word look younger, never older.
            known.at = min(known.at, at)
        elif known is None or at > known.at:
            self._take(word.target, _Known(word.rate, at, word.observer, word.number), peer)

    def next_reports(self) -> list[LimitReport]:
        """Return some words for the next heartbeat, those told least often first."""
        chosen = sorted(self._words.items(), key=lambda item: item[1].told)[:_MOST_TOLD]
        for _, known in chosen:
            known.told += 1
        now = self.clock()
        return [
            LimitReport(target, known.rate, known.hearer, known.number, round(now - known.at, 3))
            for target, known in chosen
        ]

    def drop_expired(self) -> None:
        """Drop the words that nobody heard again for long."""
        now = self.clock()
        for target, known in list(self._words.items()):
            if now - known.at > _FORGET_SECONDS:
                del self._words[target]
                if known.rate != NO_LIMIT:
                    age = now - known.at
                    self._tell(LimitChange(target, known.rate, NO_LIMIT, "silence", age))

    def _take(self, target: str, word: _Known, source: str, request: str = "") -> None:
        known = self._words.pop(target, None)
        self._words[target] = word
        while len(self._words) > _MOST_WORDS:
            del self._words[next(iter(self._words))]
        before = NO_LIMIT if known is None else known.rate
        if word.rate == before:
            word.told = _TOLD_AS_CONFIRMED if known is None else min(known.told, _TOLD_AS_CONFIRMED)
            return
        age = max(0.0, self.clock() - word.at)
        self._tell(LimitChange(target, before, word.rate, source, age, request))

    def _tell(self, change: LimitChange) -> None:
        for changed in self.on_change:
            changed(change)
