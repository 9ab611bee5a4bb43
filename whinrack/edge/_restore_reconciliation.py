"""What is believed of targets for a while after the store came back from a copy.

The copy lacks entries that were written since, and has some whose end was known here. Those who
wrote the lost ones write them again; the others lapse again. Decisions only, no I/O.
"""

from collections.abc import Collection

from whinrack.store import StoredObject, revision_era

__all__ = ["RestoreReconciler"]

# Entries that are lost are written again within two seconds where their targets live.
_REWRITE_SECONDS = 2.5
# Entries of targets that have ended lapse again after three missing heartbeats.
_EXPIRY_SECONDS = 5.0
_SLACK_SECONDS = 0.1


class RestoreReconciler:
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
        self._rewrite_deadline = float("-inf")
        self._expiry_deadline = float("-inf")

    def observe_list(self, revision: int, gone: Collection[str], now: float) -> tuple[float, ...]:
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
        self._rewrite_deadline = now + _REWRITE_SECONDS
        self._expiry_deadline = now + _EXPIRY_SECONDS
        return _REWRITE_SECONDS + _SLACK_SECONDS, _EXPIRY_SECONDS + _SLACK_SECONDS

    def reconcile(
        self, listed: Collection[StoredObject], known: Collection[StoredObject], now: float
    ) -> list[StoredObject]:
        """Return the entries to believe, of a list and of what was known before it."""
        if now >= self._expiry_deadline:
            self.ended.clear()
        entries = [stored for stored in listed if stored.name not in self.ended]
        if now < self._rewrite_deadline:
            names = {stored.name for stored in listed}
            entries += [
                stored
                for stored in known
                if stored.name not in names and revision_era(stored.version) < self._era
            ]
        return entries
