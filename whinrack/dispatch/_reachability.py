"""Detection of pools whose targets this instance has lost contact with; pure logic without I/O.

A single target that fails is ejected. If several targets of a pool fail one after another and none
answers in between, the failure may lie between this instance and all of them, and other instances
may still reach them.
"""

import math
from collections.abc import Callable, Collection
from enum import StrEnum

import msgspec

__all__ = ["ContactChange", "ContactFailure", "Reachability"]

# Number of targets that must fail without an answer in between. Smaller pools are lost when all
# their targets have failed.
_MIN_FAILED_TARGETS = 2
# Time for which a pool must be lost until the loss counts as confirmed, in seconds: healthy targets
# may all be silent for a moment.
_CONFIRMATION_SECONDS = 1.0
# Failures that are remembered per pool, the latest ones.
_MAX_FAILURES = 50


class ContactFailure(StrEnum):
    """How contact with a target failed."""

    UNREACHABLE = "unreachable"
    SILENT = "silent"
    CUT = "cut"


class ContactChange(msgspec.Struct, frozen=True):
    """A pool that was lost, or reached again.

    Attributes
    ----------
    pool : str
    is_lost : bool
    evidence : str
        Failed targets with how they failed and the seconds since the attempt and since the opening
        of its connection began, or the target that answered.
    targets, untried : int
        Targets of the pool that are in service, and those among them that have not failed.
    silent_seconds : float
        Seconds since the last answer of the pool, infinite if there was none.
    """

    pool: str
    is_lost: bool
    evidence: str
    targets: int
    untried: int
    silent_seconds: float


class _Failure(msgspec.Struct, frozen=True):
    """The latest failed contact with a target.

    Attributes
    ----------
    began_at, opened_at : float
        Steady clock times at which the attempt and the opening of its connection began.
    """

    kind: ContactFailure
    began_at: float
    opened_at: float


class _PoolContact:
    """Contact with the targets of one pool."""

    def __init__(self):
        self.answered_at = float("-inf")
        self.failures: dict[str, _Failure] = {}
        self.is_lost = False
        self.lost_at = float("-inf")


class Reachability:
    """Tracks with which pools this instance has lost contact.

    Parameters
    ----------
    targets_in_service : callable
        Returns the identities of the targets of a pool that are in service.
    clock : callable
        Monotonic clock in seconds.

    Attributes
    ----------
    on_change : list of callable
        Called with each `ContactChange`.
    """

    def __init__(
        self, targets_in_service: Callable[[str], Collection[str]], clock: Callable[[], float]
    ):
        self.targets_in_service = targets_in_service
        self.clock = clock
        self.on_change: list[Callable[[ContactChange], None]] = []
        self._pools: dict[str, _PoolContact] = {}

    def is_lost(self, pool: str) -> bool:
        """Return whether contact with all targets of a pool is believed to be lost."""
        contact = self._pools.get(pool)
        if contact is None or not contact.is_lost:
            return False
        if not self._has_evidence(pool, contact):
            # The failed targets are gone, and nothing speaks against the remaining ones.
            self._set_reached(pool, contact, "failed targets are gone")
        return contact.is_lost

    def is_loss_confirmed(self, pool: str) -> bool:
        """Return whether a pool has been lost for so long that waiting for it is of no use."""
        if not self.is_lost(pool):
            return False
        return self.clock() - self._pools[pool].lost_at >= _CONFIRMATION_SECONDS

    def lost_pools(self) -> list[str]:
        """Return the names of the lost pools in alphabetical order."""
        return sorted(pool for pool in list(self._pools) if self.is_lost(pool))

    def silent_seconds(self, pool: str) -> float:
        """Return the seconds since the last answer of a pool, infinite if there was none."""
        contact = self._pools.get(pool)
        return math.inf if contact is None else self.clock() - contact.answered_at

    def failed_targets(self, pool: str) -> Collection[str]:
        """Return the targets of a pool that have failed since its last answer."""
        contact = self._pools.get(pool)
        return () if contact is None else contact.failures.keys()

    def record_answer(self, pool: str, target: str, opened_at: float) -> None:
        """Record that a target has answered.

        Parameters
        ----------
        opened_at : float
            Steady clock time at which the connection was opened. Connections that were open when
            the pool was lost may live on while no new ones can be opened, so their answers do not
            end the loss.
        """
        contact = self._pools.get(pool)
        if contact is None:
            contact = self._pools[pool] = _PoolContact()
        if contact.is_lost and opened_at < contact.lost_at:
            return
        contact.failures.clear()
        if contact.is_lost:
            self._set_reached(pool, contact, target)
        contact.answered_at = self.clock()

    def record_failure(
        self,
        pool: str,
        target: str,
        kind: ContactFailure,
        began_at: float,
        opened_at: float | None = None,
    ) -> None:
        """Record that a target could not be contacted.

        Parameters
        ----------
        began_at : float
            Steady clock time at which the failed attempt began. Failures of attempts that began
            before the pool's last answer are ignored.
        opened_at : float, optional
            Steady clock time at which the opening of the attempt's connection began; by default
            the attempt opened a connection of its own.
        """
        contact = self._pools.setdefault(pool, _PoolContact())
        if began_at < contact.answered_at:
            return
        contact.failures.pop(target, None)
        contact.failures[target] = _Failure(
            kind, began_at, began_at if opened_at is None else opened_at
        )
        while len(contact.failures) > _MAX_FAILURES:
            del contact.failures[next(iter(contact.failures))]
        if not contact.is_lost and self._has_evidence(pool, contact):
            contact.is_lost = True
            contact.lost_at = self.clock()
            self._notify(pool, contact, self._describe(contact))

    def _has_evidence(self, pool: str, contact: _PoolContact) -> bool:
        in_service = self.targets_in_service(pool)
        failed = sum(target in contact.failures for target in in_service)
        return 0 < min(_MIN_FAILED_TARGETS, len(in_service)) <= failed

    def _set_reached(self, pool: str, contact: _PoolContact, evidence: str) -> None:
        contact.is_lost = False
        self._notify(pool, contact, evidence)

    def _describe(self, contact: _PoolContact) -> str:
        now = self.clock()
        return " ".join(
            f"{target}:{failure.kind}@{now - failure.began_at:.2f}/{now - failure.opened_at:.2f}"
            for target, failure in contact.failures.items()
        )

    def _notify(self, pool: str, contact: _PoolContact, evidence: str) -> None:
        in_service = self.targets_in_service(pool)
        change = ContactChange(
            pool=pool,
            is_lost=contact.is_lost,
            evidence=evidence,
            targets=len(in_service),
            untried=sum(target not in contact.failures for target in in_service),
            silent_seconds=self.clock() - contact.answered_at,
        )
        for callback in self.on_change:
            callback(change)
