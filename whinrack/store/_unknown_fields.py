"""Record of unknown fields in the store's answers."""

from collections.abc import Callable, Iterable

__all__ = ["UnknownFields"]

_MAX_FIELDS = 20


class UnknownFields:
    """Collects the names of unknown fields, up to a maximum number.

    Attributes
    ----------
    listeners : list of callable
        Called with each name when it occurs for the first time.
    """

    def __init__(self):
        self.listeners: list[Callable[[str], None]] = []
        self._names: set[str] = set()

    def record(self, names: Iterable[str]) -> None:
        """Record the unknown field names of an answer."""
        for name in names:
            if name in self._names or len(self._names) >= _MAX_FIELDS:
                continue
            self._names.add(name)
            for listener in self.listeners:
                listener(name)
