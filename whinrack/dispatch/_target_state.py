"""One target as this instance sees it. Decisions only, no I/O."""

import xxhash

from whinrack.dispatch._cold_state import ColdState
from whinrack.dispatch._values import ColdStart, TargetRecord
from whinrack.ejection import LocalEjection

__all__ = ["PendingPrompt", "TargetState"]


class TargetState:
    """One target as this instance sees it. Decisions only, no I/O."""

    def __init__(self, record: TargetRecord):
        self.record = record
        self.digest = xxhash.xxh32_intdigest(record.identity.encode())
        self.in_flight = 0
        # Requests sent from here whose answers have not begun.
        self.unanswered_requests = 0
        # Prompt tokens of requests from here that have brought no event yet.
        self.unread_tokens = 0
        self.is_removed = False
        self.has_announced_leaving = False
        # A later start took its place before it had said that it leaves.
        self.is_replaced = False
        self.busy_until = float("-inf")
        self.ejection = LocalEjection(failure_threshold=3, initial_seconds=1.0, max_seconds=4.0)
        self.cold_state = ColdState()

    @property
    def address(self) -> tuple[str, int]:
        """Where it listens."""
        return self.record.address

    @property
    def is_leaving(self) -> bool:
        """Whether it takes no new work."""
        return self.is_removed or self.has_announced_leaving or self.record.is_leaving

    def is_available(self, now: float) -> bool:
        """Whether a request may be sent to it."""
        return not self.is_leaving and not self.ejection.is_ejected(now)

    def record_unreachable(self, now: float) -> None:
        """Learn that no connection could be made."""
        self.ejection.record_unreachable(now)
        self.cold_state.record_unreachable(now)

    def record_answer(self, now: float) -> None:
        """Learn that it answers."""
        self.ejection.record_success(now)
        self.cold_state.record_answer(now)

    def is_cold(self, cold_start: ColdStart | None, now: float) -> bool:
        """Whether it bears few requests now, in a pool whose targets are cold at first."""
        return cold_start is not None and now < self.cold_state.cold_until(cold_start.seconds)


class PendingPrompt:
    """Prompt tokens that a target has to read for one request."""

    def __init__(self, state: TargetState, tokens: int):
        self.state = state
        self.tokens = tokens
        state.unread_tokens += tokens

    def finish(self) -> None:
        """Learn that they are read, or needn't be; calling it again changes nothing."""
        self.state.unread_tokens -= self.tokens
        self.tokens = 0
