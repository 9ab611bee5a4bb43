"""State of a target as this instance knows it: load, concurrency limit, health, leaving."""

import msgspec

from whinrack.base import MAX_BACKOFF_SECONDS
from whinrack.ejection import EjectionPolicy
from whinrack.objects import Target, TargetState

__all__ = ["LoadReport", "TargetView"]

_REPORT_HALF_LIFE = 2.0
_MIN_CONCURRENCY_LIMIT = 1.0
_DECREASE_FACTOR = 0.7
_INCREASE_STEP = 1.0


class LoadReport(msgspec.Struct, frozen=True):
    """A target's own report of its load, which lags behind.

    Attributes
    ----------
    running, waiting : int
        Requests that run and wait at the target.
    received_at : float
        Clock time at which the report arrived at this instance.
    own_in_flight : int
        Requests of this instance that were in flight at that time.
    """

    running: int
    waiting: int
    received_at: float
    own_in_flight: int


class TargetView:
    """State of one target as this instance knows it. Performs no I/O.

    Parameters
    ----------
    name : str
        Name of the Target object.
    spec : Target
        The declaration in force.
    ejection : EjectionPolicy
        Decides when failures eject the target.
    """

    def __init__(self, name: str, spec: Target, ejection: EjectionPolicy):
        self.name = name
        self.spec = spec
        self.ejection = ejection
        # State at run time.
        self.in_flight = 0
        self.concurrency_limit = float(spec.max_concurrency)
        self.report: LoadReport | None = None
        self.is_instance_leaving = False
        self.has_reported_leaving = False
        self.backoff_until = float("-inf")

    @property
    def is_leaving(self) -> bool:
        """Whether the declaration, the instance list or a load report says it is leaving."""
        declared = self.spec.state is TargetState.LEAVING
        return declared or self.is_instance_leaving or self.has_reported_leaving

    def update(self, spec: Target) -> None:
        """Apply a newer declaration."""
        if spec.max_concurrency != self.spec.max_concurrency:
            self.concurrency_limit = float(spec.max_concurrency)
        self.spec = spec

    def accepts_work(self, now: float) -> bool:
        """Return whether new work may be sent to the target at all."""
        return (
            not self.is_leaving and now >= self.backoff_until and not self.ejection.is_ejected(now)
        )

    def estimate_load(self, now: float) -> float:
        """Estimate the number of requests at the target, from all instances.

        Requests of this instance count at once. Those of other instances are taken from
        the last report and discounted by its age.
        """
        if self.report is None:
            return float(self.in_flight)
        age = max(0.0, now - self.report.received_at)
        foreign_requests = max(
            0, self.report.running + self.report.waiting - self.report.own_in_flight
        )
        return self.in_flight + foreign_requests * 0.5 ** (age / _REPORT_HALF_LIFE)

    def has_room(self, now: float) -> bool:
        """Return whether one more request fits under the concurrency limit."""
        return self.accepts_work(now) and self.estimate_load(now) < self.concurrency_limit

    def begin_request(self) -> None:
        """Count a request that is sent to the target."""
        self.in_flight += 1

    def end_request(self) -> None:
        """Count a request that ended, with whatever result."""
        self.in_flight -= 1

    def record_success(self, now: float) -> None:
        """Record an answer, and raise the concurrency limit."""
        self.ejection.record_success(now)
        max_limit = float(self.spec.max_concurrency)
        self.concurrency_limit = min(
            max_limit, self.concurrency_limit + _INCREASE_STEP / self.concurrency_limit
        )

    def start_backoff(self, seconds: float, now: float) -> None:
        """Send the target nothing for some seconds, because it asked for that."""
        self.backoff_until = max(self.backoff_until, now + min(seconds, MAX_BACKOFF_SECONDS))

    def record_overload(self) -> None:
        """Record that the target reported overload, and lower the concurrency limit."""
        self.concurrency_limit = max(
            _MIN_CONCURRENCY_LIMIT,
            min(self.concurrency_limit, self.in_flight + 1.0) * _DECREASE_FACTOR,
        )

    def record_failure(self, now: float) -> None:
        """Record a failed or broken connection."""
        self.ejection.record_failure(now)
