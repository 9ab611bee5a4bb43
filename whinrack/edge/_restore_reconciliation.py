"""Reconciliation of target lists after the store was restored from a copy.

The copy lacks entries that were written after it was made, and contains entries that have been
deleted since. Writers write their lost entries again; deleted entries expire again. Decisions only,
no I/O.
"""

from collections.abc import Collection

from whinrack.store import StoredObject, revision_era

__all__ = ["RestoreReconciler"]

# Lost entries of targets that still run are written again within two seconds.
_REWRITE_SECONDS = 2.5
# Entries of targets that have ended expire after three missing heartbeats.
_EXPIRY_SECONDS = 5.0
_SLACK_SECONDS = 0.1


class RestoreReconciler:
    """Decides which entries of a list of a later era are used at once.

    Attributes
    ----------
    deleted_names : set of str
        Names that were deleted before the restore. Entries with these names are ignored for
        `_EXPIRY_SECONDS`, unless they are written again.
    """

    def __init__(self):
        self.deleted_names: set[str] = set()
        self._era: int | None = None
        self._rewrite_deadline = float("-inf")
        self._expiry_deadline = float("-inf")

    def observe_list(
        self, revision: int, deleted: Collection[str], now: float
    ) -> tuple[float, ...]:
        """Detect a new era from the revision of a list.

        Parameters
        ----------
        revision : int
            Revision of the list.
        deleted : collection of str
            Names of entries that are known to be deleted.
        now : float
            Steady clock, seconds.

        Returns
        -------
        tuple of float
            Delays in seconds after which the list has to be applied again; empty without a
            restore.
        """
        era, before = revision_era(revision), self._era
        if before is not None and era <= before:
            return ()
        self._era = era
        if before is None:
            return ()
        self.deleted_names = set(deleted)
        self._rewrite_deadline = now + _REWRITE_SECONDS
        self._expiry_deadline = now + _EXPIRY_SECONDS
        return _REWRITE_SECONDS + _SLACK_SECONDS, _EXPIRY_SECONDS + _SLACK_SECONDS

    def reconcile(
        self, listed: Collection[StoredObject], known: Collection[StoredObject], now: float
    ) -> list[StoredObject]:
        """Return the entries to use.

        Parameters
        ----------
        listed : collection of StoredObject
            Entries of the list.
        known : collection of StoredObject
            Entries known before the list.
        now : float
            Steady clock, seconds.
        """
        if now >= self._expiry_deadline:
            self.deleted_names.clear()
        entries = [stored for stored in listed if stored.name not in self.deleted_names]
        if now < self._rewrite_deadline:
            names = {stored.name for stored in listed}
            entries += [
                stored
                for stored in known
                if stored.name not in names and revision_era(stored.version) < self._era
            ]
        return entries
