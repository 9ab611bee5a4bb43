"""Keeps streams at the software version at which they began.

What targets of two software versions write does not fit together. A stream that was broken off is
therefore continued only by a target of the version that sent its first event, within one answer and
if its caller continues it with another request.
"""

from whinrack.clock import steady
from whinrack.dispatch._refusals import BUSY_RETRY_SECONDS, pool_refusal
from whinrack.dispatch._registry import TargetRegistry
from whinrack.dispatch._request_run import RequestRun
from whinrack.dispatch._run_log import log_run
from whinrack.dispatch._values import PoolRecord
from whinrack.exceptions import Refusal, StreamOriginUnknown, StreamVersionUnavailable
from whinrack.observability import Event, Metrics
from whinrack.streams import OriginDirectory, OriginLookup, StreamOrigin

__all__ = ["StreamVersions"]

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
    """

    def __init__(self, origins: OriginDirectory, registry: TargetRegistry, metrics: Metrics):
        self.origins = origins
        self.registry = registry
        self.metrics = metrics

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
            found = self.origins.find(run.stream_key, run.deadline)
        try:
            run.origin = self._checked(run, found)
        except Refusal as refusal:
            self._log(run, found, refusal.code)
            raise
        self._log(run, found, "found")

    def record_first_event(self, run: RequestRun, pool: PoolRecord) -> None:
        """Record at which version a stream has begun, before its first event is relayed."""
        if run.origin is None:
            run.origin = StreamOrigin(pool.name, run.software_version)
        if run.route.is_resumable:
            self.origins.record(run.stream_key, run.origin)

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
