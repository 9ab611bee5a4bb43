"""Fields of a store's answers that nothing here reads."""

from collections.abc import Callable, Iterable

__all__ = ["UnknownFields"]

_MAX_FIELDS = 20


class UnknownFields:
    """Names of fields that are not known, the first ones.

    Attributes
    ----------
    found : list of callable
        Called with each name when it is met first.
    """

    def __init__(self):
        self.listeners: list[Callable[[str], None]] = []
        self._names: set[str] = set()

    def record(self, names: Iterable[str]) -> None:
        """Take in the names that an answer has beside those that are known."""
        for name in names:
            if name in self._names or len(self._names) >= _MAX_FIELDS:
                continue
            self._names.add(name)
            for listener in self.listeners:
                listener(name)
