"""Which of its lives a store answers from: it may return from a copy without the latest writes."""

from collections.abc import Callable

import msgspec

__all__ = ["EraChange", "StoreEra"]

# Far more returns than a store makes; a larger number is not an era.
_ERA_LIMIT = 2**20


class EraChange(msgspec.Struct, frozen=True):
    """A store's first answer of a later era.

    Attributes
    ----------
    before : int or None
        The era that was named before, None if none was.
    now : int
    """

    before: int | None
    now: int


class StoreEra:
    """The latest era that a store has named in its answers.

    A store counts its returns from a copy. What it said in an earlier era may be gone, and the
    revisions of that era may be given out again.

    Attributes
    ----------
    current : int
        0 as long as no answer has named one.
    late_answers : int
        Answers of an era before the current one.
    unreadable : int
        Answers whose era can't be read.
    changed : list of callable
        Called with each `EraChange`.
    """

    def __init__(self):
        self.current = 0
        self._is_named = False
        self.late_answers = 0
        self.unreadable_answers = 0
        self.listeners: list[Callable[[EraChange], None]] = []

    def observe(self, text: str | None) -> int:
        """Take in what an answer names; returns the era that the answer belongs to.

        An answer that names none, or none that can be read, belongs to the current era.
        """
        if text is None:
            return self.current
        era = _parse(text)
        if era is None:
            self.unreadable_answers += 1
            return self.current
        if era < self.current:
            self.late_answers += 1
        self.advance_to(era)
        return era

    def advance_to(self, era: int) -> None:
        """Take in an era that an answer named, here or at a peer; an earlier one says nothing."""
        if era > self.current or not self._is_named:
            change = EraChange(self.current if self._is_named else None, era)
            self.current, self._is_named = era, True
            for listener in self.listeners:
                listener(change)


def _parse(text: str) -> int | None:
    """Return the number, None for anything else."""
    text = text.strip()
    if not (text.isascii() and text.isdigit()) or len(text) > len(str(_ERA_LIMIT)):
        return None
    era = int(text)
    return era if era < _ERA_LIMIT else None
