"""What is believed of targets for a while after the store came back from a copy.

The copy lacks entries that were written since, and has some whose end was known here. Those who
wrote the lost ones write them again; the others lapse again. Decisions only, no I/O.
"""

from collections.abc import Collection

from whinrack.store import StoredObject, revision_era

__all__ = ["LostEntries"]

# Entries that are lost are written again within two seconds where their targets live.
_REWRITTEN_SECONDS = 2.5
# Entries of targets that have ended lapse again after three missing heartbeats.
_LAPSED_SECONDS = 5.0
_SLACK_SECONDS = 0.1


class LostEntries:
    """Sorts what the lists of a later era say into what is believed at once, and what later.

    Attributes
    ----------
    ended : set of str
        Names in the copy whose end was known before; not believed for `_LAPSED_SECONDS`, unless
        they are written again.
    """

    def __init__(self):
        self.ended: set[str] = set()
        self._era: int | None = None
        self._rewritten_by = float("-inf")
        self._lapsed_by = float("-inf")

    def learn(self, revision: int, gone: Collection[str], now: float) -> tuple[float, ...]:
        """Take in the revision of a list.

        Parameters
        ----------
        gone : collection of str
            Names whose end is known.

        Returns
        -------
        tuple of float
            After how many seconds the list has to be looked at again.
        """
        era, before = revision_era(revision), self._era
        if before is not None and era <= before:
            return ()
        self._era = era
        if before is None:
            return ()
        self.ended = set(gone)
        self._rewritten_by = now + _REWRITTEN_SECONDS
        self._lapsed_by = now + _LAPSED_SECONDS
        return _REWRITTEN_SECONDS + _SLACK_SECONDS, _LAPSED_SECONDS + _SLACK_SECONDS

    def believed(
        self, listed: Collection[StoredObject], known: Collection[StoredObject], now: float
    ) -> list[StoredObject]:
        """Return the entries to believe, of a list and of what was known before it."""
        if now >= self._lapsed_by:
            self.ended.clear()
        believed = [stored for stored in listed if stored.name not in self.ended]
        if now < self._rewritten_by:
            names = {stored.name for stored in listed}
            believed += [
                stored
                for stored in known
                if stored.name not in names and revision_era(stored.version) < self._era
            ]
        return believed
