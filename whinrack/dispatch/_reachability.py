"""Detection of pools whose targets this instance has lost contact with; pure logic without I/O.

A failed connection may mean that its target has ended or that this instance's path to all targets
is broken, and only the other targets of the pool tell these apart. So failures of several targets
make a pool suspected, and its other targets are checked. The pool is lost if new connections to
all of them fail. Connections that were open before may live on while no new ones can be opened, so
answers over them do not speak against a loss.

A path that has never worked is no better than one that has failed: a pool is doubted until a target
has answered, and again when the loss of another pool shows that the path may be broken.
"""

import math
from collections.abc import Callable, Collection
from enum import StrEnum

import msgspec

__all__ = ["ContactChange", "ContactFailure", "Reachability"]

# Number of targets that must fail until a pool is suspected. If this instance may send to fewer
# targets of the pool, all of these must fail.
_MIN_FAILED_TARGETS = 2
# Number of targets to which new connections must fail until a pool is lost. Smaller pools are lost
# when they fail to all targets.
_MAX_CHECKED_TARGETS = 16
# Time for which a pool must be lost until the loss counts as confirmed, in seconds: healthy targets
# may all be silent for a moment.
_CONFIRMATION_SECONDS = 1.0
# Interval between the trial requests that are sent to a lost pool.
_TRIAL_INTERVAL_SECONDS = 0.5
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

    @property
    def is_of_new_connection(self) -> bool:
        """Whether the attempt opened a connection of its own."""
        return self.opened_at >= self.began_at

    def is_outdated_by(self, opened_at: float) -> bool:
        """Return whether an answer that arrives now speaks against this failure.

        Parameters
        ----------
        opened_at : float
            Steady clock time at which the connection of the answer was opened.
        """
        return not self.is_of_new_connection or opened_at >= self.opened_at


class _PoolContact:
    """Contact with the targets of one pool.

    Attributes
    ----------
    answered_at, connected_at : float
        Steady clock times of the last answer, and of the opening of the latest connection that was
        answered.
    considered : frozenset of str
        Targets that were in service when the pool became suspected. Later ones are not considered,
        since targets may come faster than they can be checked.
    """

    def __init__(self):
        self.answered_at = float("-inf")
        self.connected_at = float("-inf")
        # When targets last answered over any connection; the latest ones.
        self.answered_by: dict[str, float] = {}
        self.failures: dict[str, _Failure] = {}
        self.considered: frozenset[str] = frozenset()
        self.is_lost = False
        self.lost_at = float("-inf")
        self.tried_at = float("-inf")

    def record_answer(self, opened_at: float, now: float) -> None:
        self.answered_at = now
        self.connected_at = max(self.connected_at, opened_at)
        self.failures = {
            target: failure
            for target, failure in self.failures.items()
            if not failure.is_outdated_by(opened_at)
        }

    def record_answer_of(self, target: str, now: float) -> None:
        self.answered_by.pop(target, None)
        self.answered_by[target] = now
        while len(self.answered_by) > _MAX_FAILURES:
            del self.answered_by[next(iter(self.answered_by))]

    def record_failure(self, target: str, failure: _Failure) -> bool:
        """Record a failure; return False if an answer already speaks against it."""
        is_silent = failure.kind is ContactFailure.SILENT
        if is_silent and self.answered_by.get(target, -math.inf) >= failure.began_at:
            # It answers others: this request, or the health check, is slow.
            return False
        if failure.began_at < self.connected_at:
            return False
        if not failure.is_of_new_connection and failure.began_at < self.answered_at:
            return False
        known = self.failures.pop(target, None)
        if known is not None and known.is_of_new_connection:
            # The failure of an older connection adds nothing to that of a new one.
            failure = failure if failure.is_of_new_connection else known
        self.failures[target] = failure
        while len(self.failures) > _MAX_FAILURES:
            del self.failures[next(iter(self.failures))]
        return True

    def failed_targets(self, in_service: Collection[str]) -> list[str]:
        return [target for target in in_service if target in self.failures]

    def unconnectable_targets(self, in_service: Collection[str]) -> list[str]:
        """Return the targets in service to which new connections have failed."""
        return [
            target
            for target in self.failed_targets(in_service)
            if self.failures[target].is_of_new_connection
        ]


class Reachability:
    """Tracks with which pools this instance has lost contact.

    Parameters
    ----------
    targets_in_service : callable
        Returns the identities of the targets of a pool that are in service.
    clock : callable
        Monotonic clock in seconds.
    targets_with_quota : callable, optional
        Returns the identities of those among them that this instance may send to; by default all.

    Attributes
    ----------
    on_change : list of callable
        Called with each `ContactChange`.
    on_failure : list of callable
        Called with the name of a pool that is not lost and should be checked: after each failure,
        also after one that is no evidence because answers came meanwhile, and after other signs.
    """

    def __init__(
        self,
        targets_in_service: Callable[[str], Collection[str]],
        clock: Callable[[], float],
        targets_with_quota: Callable[[str], Collection[str]] | None = None,
    ):
        self.targets_in_service = targets_in_service
        self.targets_with_quota = targets_with_quota or targets_in_service
        self.clock = clock
        self.on_change: list[Callable[[ContactChange], None]] = []
        self.on_failure: list[Callable[[str], None]] = []
        self._pools: dict[str, _PoolContact] = {}

    def is_lost(self, pool: str) -> bool:
        """Return whether contact with all targets of a pool is believed to be lost."""
        contact = self._pools.get(pool)
        if contact is None or not contact.is_lost:
            return False
        if not self._has_suspicion(pool, contact):
            # The failed targets are gone, and nothing speaks against the remaining ones.
            self._set_reached(pool, contact, "failed targets are gone")
        return contact.is_lost

    def is_doubted(self, pool: str) -> bool:
        """Return whether a pool that is not lost has not answered since there is cause to check it.

        The cause is the start of this instance, or the loss of another pool.
        """
        if self.is_lost(pool):
            return False
        contact = self._pools.get(pool)
        if contact is None or contact.answered_at == -math.inf:
            return True
        return any(
            other.is_lost and contact.answered_at < other.lost_at for other in self._pools.values()
        )

    def request_check(self, pool: str) -> None:
        """Have a pool checked because a request has waited for an answer in vain."""
        if not self.is_lost(pool):
            self._notify_failure(pool)

    def has_answered(self, pool: str) -> bool:
        """Return whether any target of a pool has answered so far."""
        return math.isfinite(self.silent_seconds(pool))

    def is_suspected(self, pool: str) -> bool:
        """Return whether several targets of a pool failed and the others should be checked."""
        contact = self._pools.get(pool)
        return contact is not None and not contact.is_lost and self._has_suspicion(pool, contact)

    def targets_to_check(self, pool: str) -> list[str]:
        """Return the targets whose answers tell whether a pool is lost."""
        contact = self._pools.setdefault(pool, _PoolContact())
        if self._has_suspicion(pool, contact):
            considered = self._considered_targets(pool, contact)
        else:
            considered = list(self.targets_in_service(pool))
        unconnectable = set(contact.unconnectable_targets(considered))
        untested = [target for target in considered if target not in unconnectable]
        return untested[: max(1, _MAX_CHECKED_TARGETS - len(unconnectable))]

    def is_loss_confirmed(self, pool: str) -> bool:
        """Return whether a pool has been lost for so long that waiting for it is of no use."""
        if not self.is_lost(pool):
            return False
        return self.clock() - self._pools[pool].lost_at >= _CONFIRMATION_SECONDS

    def take_trial(self, pool: str) -> bool:
        """Return whether a request for a lost pool may be sent all the same.

        Health checks may go unanswered though requests are answered.
        """
        contact, now = self._pools[pool], self.clock()
        if now - max(contact.lost_at, contact.tried_at) < _TRIAL_INTERVAL_SECONDS:
            return False
        contact.tried_at = now
        return True

    def lost_pools(self) -> list[str]:
        """Return the names of the lost pools in alphabetical order."""
        return sorted(pool for pool in list(self._pools) if self.is_lost(pool))

    def silent_seconds(self, pool: str) -> float:
        """Return the seconds since the last answer of a pool, infinite if there was none."""
        contact = self._pools.get(pool)
        return math.inf if contact is None else self.clock() - contact.answered_at

    def connected_at(self, pool: str) -> float:
        """Return when the latest answered connection was opened, minus infinity for none."""
        contact = self._pools.get(pool)
        return -math.inf if contact is None else contact.connected_at

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
        contact = self._pools.setdefault(pool, _PoolContact())
        contact.record_answer_of(target, self.clock())
        if contact.is_lost and opened_at < contact.lost_at:
            return
        contact.record_answer(opened_at, self.clock())
        if not self._has_suspicion(pool, contact):
            contact.considered = frozenset()
        if contact.is_lost:
            self._set_reached(pool, contact, target)

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
            Steady clock time at which the failed attempt began. Failures that an answer speaks
            against already are ignored.
        opened_at : float, optional
            Steady clock time at which the opening of the attempt's connection began; by default
            the attempt opened a connection of its own.
        """
        contact = self._pools.setdefault(pool, _PoolContact())
        failure = _Failure(kind, began_at, began_at if opened_at is None else opened_at)
        is_evidence = contact.record_failure(target, failure)
        if contact.is_lost:
            return
        if is_evidence and self._has_evidence(pool, contact):
            contact.is_lost = True
            contact.lost_at = self.clock()
            self._notify(pool, contact, self._describe(contact))
            return
        self._notify_failure(pool)

    def _notify_failure(self, pool: str) -> None:
        for callback in self.on_failure:
            callback(pool)

    def _has_suspicion(self, pool: str, contact: _PoolContact) -> bool:
        in_service = self.targets_in_service(pool)
        failed = len(contact.failed_targets(in_service))
        if failed >= _MIN_FAILED_TARGETS:
            return True
        if not failed:
            return False
        # The quotas of a lost pool are no measure: the instance has given them up.
        considered = [target for target in in_service if target in contact.considered]
        return len(considered or self._usable_targets(pool, contact)) <= failed

    def _has_evidence(self, pool: str, contact: _PoolContact) -> bool:
        if not self._has_suspicion(pool, contact):
            return False
        considered = self._considered_targets(pool, contact)
        unconnectable = len(contact.unconnectable_targets(considered))
        return min(_MAX_CHECKED_TARGETS, len(considered)) <= unconnectable

    def _considered_targets(self, pool: str, contact: _PoolContact) -> list[str]:
        """Return the targets in service that a suspicion is about.

        Targets that this instance sends nothing to say nothing about its path.
        """
        in_service = self.targets_in_service(pool)
        considered = [target for target in in_service if target in contact.considered]
        if not considered:
            considered = self._usable_targets(pool, contact)
            contact.considered = frozenset(considered)
        return considered

    def _usable_targets(self, pool: str, contact: _PoolContact) -> list[str]:
        """Return the targets in service that this instance sends to, or that have failed."""
        usable = {*self.targets_with_quota(pool), *contact.failures}
        return [target for target in self.targets_in_service(pool) if target in usable]

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
