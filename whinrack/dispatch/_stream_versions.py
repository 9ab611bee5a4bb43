"""Keeps streams at the software version at which they began.

What targets of two software versions write does not fit together. A stream that was broken off is
therefore continued only by a target of the version that sent its first event, within one answer and
if its caller continues it with another request.
"""

import eventlet

from whinrack.clock import steady
from whinrack.dispatch._refusals import BUSY_RETRY_SECONDS, pool_refusal
from whinrack.dispatch._registry import TargetRegistry
from whinrack.dispatch._request_run import RequestRun
from whinrack.dispatch._route_history import RouteHistory
from whinrack.dispatch._run_log import log_run
from whinrack.dispatch._target_state import TargetState
from whinrack.dispatch._values import PoolRecord
from whinrack.exceptions import (
    AnsweredByLaterStart,
    Refusal,
    StreamOriginUnknown,
    StreamVersionUnavailable,
)
from whinrack.observability import Event, Metrics
from whinrack.streams import OriginDirectory, OriginLookup, StreamOrigin, UnsettledStart

__all__ = ["StreamVersions"]

# Multiple of a route's timeout within which a stream began that is continued now: the time of the
# caller's first attempt and of the ones that continue it.
_STREAM_TIMEOUTS = 2.0
# How long to wait for the store to confirm the target list, seconds, and how often to look.
_CONFIRMATION_SECONDS = 1.2
_POLL_SECONDS = 0.05
# Ages of target lists from peers are rounded to tenths of a second.
_AGE_ERROR_SECONDS = 0.1

# Time from when a target starts to listen until the record of this start has arrived, seconds: a
# write to the store and the report of it.
_RECORD_SECONDS = 0.25
_RECORD_POLL_SECONDS = 0.02
# Time from a connection attempt until the origin of a stream that began over it is settled,
# seconds. Longer than the wait above, as it delays only callers that come back at once.
_SETTLING_SECONDS = 0.5

# Source of an origin that was deduced.
_SOLE_VERSION = "sole version"
# Retry delay if no peer that answered knows where a stream began, seconds.
_UNKNOWN_RETRY_SECONDS = 1.0
# Retry delay if no target of the version of a stream is in service, seconds: one that crashed may
# return.
_NO_TARGET_RETRY_SECONDS = 1.0


class StreamVersions:
    """Finds out and records the software versions of streams.

    Parameters
    ----------
    origins : OriginDirectory
    registry : TargetRegistry
    metrics : Metrics
    route_history : RouteHistory
    """

    def __init__(
        self,
        origins: OriginDirectory,
        registry: TargetRegistry,
        metrics: Metrics,
        route_history: RouteHistory,
    ):
        self.origins = origins
        self.registry = registry
        self.metrics = metrics
        self.route_history = route_history

    def look_up(self, run: RequestRun) -> None:
        """Look up where the stream began that a request continues, if it continues one.

        Raises
        ------
        StreamOriginUnknown
            If the software version of the stream is unknown.
        StreamVersionUnavailable
            If the route no longer leads to the pool in which the stream began.
        """
        if not run.is_continuation:
            return
        found = OriginLookup(None)
        if run.request.resumed_id:
            found = self._find_settled(run)
        if found.origin is None:
            found = self._deduce(run, found)
        try:
            run.origin = self._checked(run, found)
        except Refusal as refusal:
            self._log(run, found, refusal.code)
            raise
        self._log(run, found, "found")

    def _find_settled(self, run: RequestRun) -> OriginLookup:
        """Look up where a stream began, and wait until a later start there would be known."""
        while True:
            found = self.origins.find(run.stream_key, run.deadline)
            if not found.seconds_left:
                return found
            if run.seconds_left() <= 0.0:
                unknown = StreamOrigin(found.origin.pool, "")
                return OriginLookup(unknown, found.source, found.unanswered)
            wait = max(_RECORD_POLL_SECONDS, found.seconds_left)
            eventlet.sleep(min(wait, run.seconds_left()))

    def _deduce(self, run: RequestRun, found: OriginLookup) -> OriginLookup:
        """Deduce where a stream began if its pool has had targets of one version only.

        The stream may have begun while its route led to another pool; then nothing is deduced.
        The list of targets must have been confirmed after the request arrived: otherwise another
        instance may have known a further version already.
        """
        if len(run.route.weighted_pools) != 1:
            return found
        pool = run.route.weighted_pools[0].pool
        path = run.route, run.request.host, run.request.path
        seconds = _STREAM_TIMEOUTS * self.route_history.longest_timeout(*path)
        if not self.route_history.had_same_pools(*path, seconds):
            return found
        confirmed_from = run.exchange.received_at + _AGE_ERROR_SECONDS
        until = min(run.deadline, steady() + _CONFIRMATION_SECONDS)
        while version := self.registry.sole_version(pool, seconds):
            if self.registry.confirmed_at() >= confirmed_from:
                return OriginLookup(StreamOrigin(pool, version), _SOLE_VERSION, found.unanswered)
            if steady() >= until:
                break
            eventlet.sleep(_POLL_SECONDS)
        return found

    def record_first_event(self, run: RequestRun, pool: PoolRecord) -> None:
        """Record at which version a stream has begun, before its first event is relayed."""
        begins_here = run.origin is None
        if begins_here:
            run.origin = StreamOrigin(pool.name, run.software_version)
        if run.route.is_resumable:
            unsettled = self._unsettled_start(run) if begins_here else None
            self.origins.record(run.stream_key, run.origin, unsettled)

    def _unsettled_start(self, run: RequestRun) -> UnsettledStart | None:
        """Return the start that seems to begin a stream, None if no later one can be the sender.

        Only targets that state when they started return under their name.
        """
        seconds_left = run.connected_at + _SETTLING_SECONDS - steady()
        if not run.target_started or seconds_left <= 0.0:
            return None
        run.settles_at = steady() + seconds_left
        return UnsettledStart(run.target, run.target_started, seconds_left)

    def record_later_start(self, replaced: TargetState) -> None:
        """Record that a later start of a target became known.

        It may have begun streams that are recorded with the version of the replaced one. Their
        callers may have left since.
        """
        record = replaced.record
        self.origins.record_later_start(record.incarnation, record.started)

    def await_settled(self, run: RequestRun) -> None:
        """Wait until the version of a stream is settled that began here and goes on."""
        if run.origin is None or run.settles_at <= steady():
            return
        found = self._find_settled(run)
        run.origin = found.origin or StreamOrigin(run.origin.pool, "")

    def await_record(self, run: RequestRun, state: TargetState, connected_at: float) -> None:
        """Wait until a later start at a target's address is known, if a stream goes on there.

        A start that answers over a new connection may have begun to listen just before, and may
        have other software than the record says. Streams that begin there are unsettled for a
        while. Only targets that state when they started return under their name.

        Parameters
        ----------
        connected_at : float
            Steady clock time at which the connection attempt began.

        Raises
        ------
        AnsweredByLaterStart
            If a later start is known by then.
        """
        if run.origin is None or not state.record.started:
            return
        until = min(connected_at + _RECORD_SECONDS, run.deadline)
        while not state.is_replaced and steady() < until:
            eventlet.sleep(_RECORD_POLL_SECONDS)
        if state.is_replaced:
            raise AnsweredByLaterStart("a later start of the target answers")

    def record_replaced(self, run: RequestRun) -> None:
        """Record that a stream was running when a later start of its target became known.

        Its events may come from that start, so its version is unknown.
        """
        if run.origin is not None and run.route.is_resumable:
            run.origin = StreamOrigin(run.origin.pool, "")
            self.origins.record(run.stream_key, run.origin)

    def refusal(self, run: RequestRun, pool: PoolRecord) -> Refusal:
        """Return the refusal of a request for which no target was found."""
        origin = run.origin
        if origin is None or self.registry.has_version(pool.name, origin.software_version):
            return pool_refusal(self.registry, pool, steady())
        self.metrics.stream_continuations.labels(StreamVersionUnavailable.code).inc()
        return StreamVersionUnavailable(
            f"no target of software version {origin.software_version or 'unknown'} is in service",
            retry_after=_NO_TARGET_RETRY_SECONDS,
        )

    def _checked(self, run: RequestRun, found: OriginLookup) -> StreamOrigin:
        origin = found.origin
        if origin is None or not origin.is_known:
            raise StreamOriginUnknown(
                "the software version at which the stream began is unknown",
                retry_after=_UNKNOWN_RETRY_SECONDS,
            )
        if origin.pool not in {weighted.pool for weighted in run.route.weighted_pools}:
            raise StreamVersionUnavailable(
                "the route no longer leads to the pool in which the stream began",
                retry_after=BUSY_RETRY_SECONDS,
            )
        return origin

    def _log(self, run: RequestRun, found: OriginLookup, result: str) -> None:
        self.metrics.stream_continuations.labels(result).inc()
        origin = found.origin or StreamOrigin("", "")
        log_run(
            Event.STREAM_CONTINUED,
            run,
            result=result,
            pool=origin.pool,
            version=origin.software_version,
            source=found.source,
            unanswered=found.unanswered,
        )
