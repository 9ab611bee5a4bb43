"""What this instance knows of each target: load, limit, health, leaving."""

import msgspec

from whinrack.base import LONGEST_BACKOFF_SECONDS
from whinrack.ejection import EjectionPolicy
from whinrack.objects import Target, TargetState

__all__ = ["LoadReport", "TargetView"]

_REPORT_HALF_LIFE = 2.0
_MIN_CONCURRENCY_LIMIT = 1.0
_DECREASE_FACTOR = 0.7
_INCREASE_STEP = 1.0


class LoadReport(msgspec.Struct, frozen=True):
    """A target's own word on its load, which lags.

    Attributes
    ----------
    running, waiting : int
        Requests at the target.
    received_at : float
        Clock time here at which the report arrived.
    own_in_flight : int
        Requests of this instance that were in flight then.
    """

    running: int
    waiting: int
    received_at: float
    own_in_flight: int


class TargetView:
    """One target as this instance sees it. Decisions only, no I/O.

    Parameters
    ----------
    name : str
        The Target object's name.
    spec : Target
        The declaration in force.
    ejection : EjectionPolicy
        Decides when failures set the target aside.
    """

    def __init__(self, name: str, spec: Target, ejection: EjectionPolicy):
        self.name = name
        self.spec = spec
        self.ejection = ejection
        # Learnt at run time.
        self.in_flight = 0
        self.concurrency_limit = float(spec.max_concurrency)
        self.report: LoadReport | None = None
        self.is_instance_leaving = False
        self.has_reported_leaving = False
        self.backoff_until = float("-inf")

    @property
    def is_leaving(self) -> bool:
        """Whether any source says that the target is leaving."""
        declared = self.spec.state is TargetState.LEAVING
        return declared or self.is_instance_leaving or self.has_reported_leaving

    def update(self, spec: Target) -> None:
        """Take in a newer declaration."""
        if spec.max_concurrency != self.spec.max_concurrency:
            self.concurrency_limit = float(spec.max_concurrency)
        self.spec = spec

    def accepts_work(self, now: float) -> bool:
        """Whether new work may go to the target at all."""
        return (
            not self.is_leaving and now >= self.backoff_until and not self.ejection.is_ejected(now)
        )

    def estimate_load(self, now: float) -> float:
        """Estimate the requests at the target, from all instances.

        Own requests in flight count at once. What others had there when the report
        was made is discounted by the report's age.
        """
        if self.report is None:
            return float(self.in_flight)
        age = max(0.0, now - self.report.received_at)
        foreign_requests = max(
            0, self.report.running + self.report.waiting - self.report.own_in_flight
        )
        return self.in_flight + foreign_requests * 0.5 ** (age / _REPORT_HALF_LIFE)

    def has_room(self, now: float) -> bool:
        """Whether one more request fits under the limit."""
        return self.accepts_work(now) and self.estimate_load(now) < self.concurrency_limit

    def begin_request(self) -> None:
        """Count a request that is sent to the target."""
        self.in_flight += 1

    def end_request(self) -> None:
        """Count a request that ended, in whatever way."""
        self.in_flight -= 1

    def record_success(self, now: float) -> None:
        """Learn from an answer."""
        self.ejection.record_success(now)
        max_limit = float(self.spec.max_concurrency)
        self.concurrency_limit = min(
            max_limit, self.concurrency_limit + _INCREASE_STEP / self.concurrency_limit
        )

    def start_backoff(self, seconds: float, now: float) -> None:
        """Learn that the target takes nothing from this instance for a while."""
        self.backoff_until = max(self.backoff_until, now + min(seconds, LONGEST_BACKOFF_SECONDS))

    def record_overload(self) -> None:
        """Learn from the target's word that it is busy."""
        self.concurrency_limit = max(
            _MIN_CONCURRENCY_LIMIT,
            min(self.concurrency_limit, self.in_flight + 1.0) * _DECREASE_FACTOR,
        )

    def record_failure(self, now: float) -> None:
        """Learn from a connection that failed or broke."""
        self.ejection.record_failure(now)
