"""Relays targets' answers to callers and bills them."""

from collections.abc import Callable, Iterable

from whinrack.clock import steady
from whinrack.dispatch._cost_learning import CostLearning
from whinrack.dispatch._forwarding_mark import without_marks
from whinrack.dispatch._pacing import StreamPacing
from whinrack.dispatch._request_run import RequestRun
from whinrack.dispatch._run_log import log_run, placement_fields
from whinrack.dispatch._values import PoolRecord
from whinrack.exceptions import AnswerCut
from whinrack.http1 import ResponseHead
from whinrack.observability import Event, Metrics

__all__ = ["AnswerRelay"]


class AnswerRelay:
    """Relays complete answers and streams.

    Parameters
    ----------
    metrics : Metrics
    pacing : StreamPacing
        Inserts pauses between the pieces of streams.
    on_first_event : callable
        Called before the first event of a stream is relayed.
    costs : CostLearning
        Notified of first events and ends of streams.
    """

    def __init__(
        self,
        metrics: Metrics,
        pacing: StreamPacing,
        on_first_event: Callable[[RequestRun, PoolRecord], None],
        costs: CostLearning,
    ):
        self.metrics = metrics
        self.pacing = pacing
        self.on_first_event = on_first_event
        self.costs = costs

    def relay_complete(
        self, run: RequestRun, pool: PoolRecord, head: ResponseHead, body: bytes
    ) -> None:
        """Relay an answer that was received completely.

        Raises
        ------
        AnswerCut
            If events of an earlier target have been relayed already.
        """
        self._require_unstarted(run, head)
        run.settle_complete(pool)
        run.exchange.respond(head.status, without_marks(head.headers), body)
        self._record_answered(run, head)

    def relay_long(
        self,
        run: RequestRun,
        pool: PoolRecord,
        head: ResponseHead,
        held: bytes,
        pieces: Iterable[bytes],
    ) -> None:
        """Relay an answer that is too long to be held: what is held, then the rest as it arrives.

        Raises
        ------
        AnswerCut, AttemptTimeout
            Raised by the iteration over the pieces, or if events of an earlier target have been
            relayed already.
        """
        self._require_unstarted(run, head)
        run.has_begun_long_answer = True
        run.exchange.start_response(head.status, without_marks(head.headers))
        run.exchange.write(held)
        for piece in pieces:
            run.exchange.write(piece)
        run.settle_complete(pool)
        run.exchange.finish()
        self._record_answered(run, head)

    def relay_stream(
        self, run: RequestRun, pool: PoolRecord, head: ResponseHead, pieces: Iterable[bytes]
    ) -> None:
        """Relay events as they arrive; the head is sent with the first one.

        Raises
        ------
        AnswerCut, AttemptTimeout
            Raised by the iteration over the pieces.
        """
        exchange = run.exchange
        for block in run.parser.blocks(self.pacing.paced(pieces)):
            if not exchange.is_started:
                self.costs.record_first_event(run, pool)
                self.on_first_event(run, pool)
                exchange.start_response(head.status, without_marks(head.headers))
                self._record_first_event(run)
            exchange.write(block.data)
            run.record_relayed(block.count, block.last_id)
        if not exchange.is_started:
            exchange.start_response(head.status, without_marks(head.headers))
        run.settle_complete(pool)
        self.costs.record_ended(run, pool)
        exchange.finish()
        self._record_answered(run, head)

    def _require_unstarted(self, run: RequestRun, head: ResponseHead) -> None:
        if run.exchange.is_started:
            raise AnswerCut(f"target answered with status {head.status} in the middle of a stream")

    def _record_first_event(self, run: RequestRun) -> None:
        seconds = steady() - run.exchange.received_at
        self.metrics.first_byte_seconds.labels(str(run.route.kind)).observe(seconds)

    def _record_answered(self, run: RequestRun, head: ResponseHead) -> None:
        log_run(
            Event.REQUEST_ANSWERED,
            run,
            status=head.status,
            billed=run.billed_tokens,
            **placement_fields(run),
        )
        self.metrics.requests.labels(str(run.route.kind), str(head.status)).inc()
