"""Eras of a store, which may be restored from a backup that lacks the latest writes."""

from collections.abc import Callable

import msgspec

__all__ = ["EraChange", "StoreEra"]

# Far more restores than a store ever has; a number from here on is not an era.
_ERA_LIMIT = 2**20
# Most occurrences of the field in one answer.
_MAX_REPETITIONS = 8


class EraChange(msgspec.Struct, frozen=True):
    """Transition of the store to a later era.

    Attributes
    ----------
    before : int or None
        The previous era, None if no answer had named one.
    now : int
        The new era.
    """

    before: int | None
    now: int


class StoreEra:
    """The latest era that a store has named in its answers.

    The era is the number of times that the store was restored from a backup. Writes of an earlier
    era may be lost, and their revisions may be assigned again.

    Attributes
    ----------
    current : int
        The era, 0 until an answer has named one.
    late_answers : int
        Number of answers from an era before the current one.
    unreadable_answers : int
        Number of answers whose era could not be parsed.
    listeners : list of callable
        Called with each `EraChange`.
    unreadable_listeners : list of callable
        Called with the text of the first era that could not be parsed.
    """

    def __init__(self):
        self.current = 0
        self._is_named = False
        self.late_answers = 0
        self.unreadable_answers = 0
        self.listeners: list[Callable[[EraChange], None]] = []
        self.unreadable_listeners: list[Callable[[str], None]] = []

    def observe(self, text: str | None) -> int:
        """Process the era that an answer names.

        Parameters
        ----------
        text : str or None
            The era as the answer has it, None if it names none.

        Returns
        -------
        int
            The era of the answer; the current one if it names none that can be parsed.
        """
        if text is None:
            return self.current
        era = _parse(text)
        if era is None:
            self._record_unreadable(text)
            return self.current
        if era < self.current:
            self.late_answers += 1
        self.advance_to(era)
        return era

    def _record_unreadable(self, text: str) -> None:
        self.unreadable_answers += 1
        if self.unreadable_answers > 1:
            return
        for listener in self.unreadable_listeners:
            listener(text)

    def advance_to(self, era: int) -> None:
        """Advance to an era that an answer here or at a peer named; an earlier one is ignored."""
        if era > self.current or not self._is_named:
            change = EraChange(self.current if self._is_named else None, era)
            self.current, self._is_named = era, True
            for listener in self.listeners:
                listener(change)


def _parse(text: str) -> int | None:
    """Return the era as a number, or None if the text is not a valid era.

    A field that occurs several times in an answer arrives as one list; equal eras are valid.
    """
    names = text.split(",", _MAX_REPETITIONS)
    eras = {_parse_one(name.strip()) for name in names}
    return eras.pop() if len(eras) == 1 else None


def _parse_one(text: str) -> int | None:
    if not (text.isascii() and text.isdigit()) or len(text) > len(str(_ERA_LIMIT)):
        return None
    era = int(text)
    return era if era < _ERA_LIMIT else None
