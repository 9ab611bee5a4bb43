"""State of one target as seen by this instance; pure logic without I/O."""

import contextlib
import heapq
from collections.abc import Iterator

import xxhash

from whinrack.dispatch._cold_state import ColdState
from whinrack.dispatch._values import ColdStart, TargetRecord
from whinrack.ejection import LocalEjection

__all__ = ["PendingOutput", "PendingPrompt", "TargetState"]


# Seconds after the end of a target within which the store removes its record: three heartbeats of
# 1.2 s, with the delays of the store and the watch.
RECORD_EXPIRY_SECONDS = 6.0


class TargetState:
    """State of one target as seen by this instance.

    Attributes
    ----------
    digest : int
        Short hash of the target's identity.
    in_flight : int
        This instance's requests that have not ended.
    checks_in_flight : int
        This instance's health checks and connection tests that have not ended.
    unanswered_requests : int
        This instance's requests whose answers have not begun.
    unread_tokens : int
        Prompt tokens of this instance's requests that have not produced an event yet.
    output_left : float
        Output tokens that this instance's requests are likely to generate yet.
    is_removed : bool
        Whether the target's record was deleted or replaced.
    is_replaced : bool
        Whether a later start replaced the target before it announced that it leaves.
    ended_at : float
        Steady clock time at which this start seemed to have ended, minus infinity if it did not.
    refused_at : float
        Steady clock time at which its address last refused a connection of this instance, minus
        infinity if it did not or has answered over an older connection since.
    """

    def __init__(self, record: TargetRecord):
        self.record = record
        self.digest = xxhash.xxh32_intdigest(record.identity.encode())
        self.in_flight = 0
        self.checks_in_flight = 0
        self.unanswered_requests = 0
        self.unread_tokens = 0
        self.output_left = 0.0
        self.is_removed = False
        self.has_announced_leaving = False
        self.is_replaced = False
        self.ended_at = float("-inf")
        self.refused_at = float("-inf")
        self.busy_until = float("-inf")
        # Steady clock times until which runs that were given up here may still hold a slot.
        self._held_until: list[float] = []
        self.ejection = LocalEjection(failure_threshold=3, initial_seconds=1.0, max_seconds=4.0)
        self.cold_state = ColdState()

    @property
    def address(self) -> tuple[str, int]:
        """Host and port that the target listens on."""
        return self.record.address

    @property
    def is_leaving(self) -> bool:
        """Whether the target accepts no new requests."""
        return self.is_removed or self.has_announced_leaving or self.record.is_leaving

    def is_available(self, now: float) -> bool:
        """Return whether the target is neither leaving nor ejected."""
        return not self.is_leaving and not self.ejection.is_ejected(now)

    def record_unreachable(self, now: float) -> None:
        """Record that no connection could be opened."""
        self.ejection.record_unreachable(now)
        self.cold_state.record_unreachable(now)

    @contextlib.contextmanager
    def counted_check(self) -> Iterator[None]:
        """Count a health check or connection test as in flight."""
        self.checks_in_flight += 1
        try:
            yield
        finally:
            self.checks_in_flight -= 1

    def hold_slot(self, until: float, now: float) -> None:
        """Count a run that was given up here, but may not have ended at the target."""
        self._drop_ended_holds(now)
        heapq.heappush(self._held_until, until)

    def held_slots(self, now: float) -> int:
        """Return how many slots are held by runs that were given up here."""
        self._drop_ended_holds(now)
        return len(self._held_until)

    def _drop_ended_holds(self, now: float) -> None:
        while self._held_until and self._held_until[0] <= now:
            heapq.heappop(self._held_until)

    def record_ended(self, now: float) -> None:
        """Record that nothing listened at the target's address.

        A later start under the same name may have other software; its record arrives later.
        """
        self.ended_at = now

    def record_refused(self, now: float) -> None:
        """Record that a connection was refused: the target may have ended."""
        self.refused_at = now

    def record_alive(self, connected_at: float) -> None:
        """Record an answer over a connection, which belongs to one process at the target."""
        if connected_at <= self.ended_at:
            self.ended_at = float("-inf")
        if connected_at <= self.refused_at:
            self.refused_at = float("-inf")

    def software_version(self, confirmed_at: float) -> str:
        """Return the software version of the process at the target's address, empty if unknown.

        Parameters
        ----------
        confirmed_at : float
            Steady clock time at which the store last confirmed the record.
        """
        return "" if self.may_have_ended(confirmed_at) else self.record.software_version

    def may_have_ended(self, now: float) -> bool:
        """Return whether this start seemed to have ended and its record may be outdated."""
        return now - max(self.ended_at, self.refused_at) <= RECORD_EXPIRY_SECONDS

    def record_answer(self, now: float) -> None:
        """Record that an answer of the target has begun."""
        self.cold_state.record_answer(now)

    def record_whole_answer(self, now: float) -> None:
        """Record that an answer of the target was received to its end."""
        self.ejection.record_success(now)

    def is_cold(self, cold_start: ColdStart | None, now: float) -> bool:
        """Return whether the target is still cold after a start."""
        return cold_start is not None and now < self.cold_state.cold_until(cold_start.seconds)


class PendingPrompt:
    """Prompt tokens that a target has yet to process for one request."""

    def __init__(self, state: TargetState, tokens: int):
        self.state = state
        self.tokens = tokens
        state.unread_tokens += tokens

    def finish(self) -> None:
        """Stop counting the tokens, because they are processed or no longer needed; idempotent."""
        self.state.unread_tokens -= self.tokens
        self.tokens = 0


class PendingOutput:
    """Output tokens that a target is likely to generate yet for one request."""

    def __init__(self, state: TargetState, tokens: float):
        self.state = state
        self.tokens = tokens
        state.output_left += tokens

    def record_generated(self, tokens: float) -> None:
        """Stop counting tokens that were generated; a request may exceed its estimate."""
        generated = min(self.tokens, tokens)
        self.tokens -= generated
        self.state.output_left -= generated

    def finish(self) -> None:
        """Stop counting the rest, because the request has ended; idempotent."""
        self.record_generated(self.tokens)
