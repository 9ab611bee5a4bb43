"""Interface between the quarantine and the instance that it belongs to."""

from whinrack.quarantine._cases import Case

__all__ = ["QuarantineHost"]


class QuarantineHost:
    """Connection of the quarantine to peers and the store."""

    def send_to_owners(self, case: Case) -> None:
        """Send a case to the instances that own its fingerprint."""
        raise NotImplementedError

    def send_to_all(self, cases: list[Case]) -> None:
        """Send cases to all instances."""
        raise NotImplementedError

    def is_store_reachable(self) -> bool:
        """Return whether the store answers calls of this instance."""
        raise NotImplementedError

    def is_hearing_majority(self) -> bool:
        """Return whether this instance hears more than half of the known instances."""
        raise NotImplementedError

    def schedule_save(self) -> None:
        """Schedule a write of the suspect cases to the store."""
        raise NotImplementedError
