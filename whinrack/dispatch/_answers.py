"""Passes targets' answers on to callers, and bills what was handed out."""

from collections.abc import Iterable

from whinrack.clock import steady
from whinrack.dispatch._events import event_blocks
from whinrack.dispatch._pacing import StreamPacing
from whinrack.dispatch._request_run import RequestRun
from whinrack.dispatch._run_log import log_run
from whinrack.dispatch._values import PoolRecord
from whinrack.exceptions import AnswerCut
from whinrack.http1 import Headers, ResponseHead, end_to_end_headers
from whinrack.observability import Event, Metrics

__all__ = ["AnswerRelay"]


class AnswerRelay:
    """Passes whole answers and streams on.

    Parameters
    ----------
    metrics : Metrics
    pacing : StreamPacing
        Spaces the pieces of streams.
    """

    def __init__(self, metrics: Metrics, pacing: StreamPacing):
        self.metrics = metrics
        self.pacing = pacing

    def relay_complete(
        self, run: RequestRun, pool: PoolRecord, head: ResponseHead, body: bytes
    ) -> None:
        """Pass on an answer all of which is here.

        Raises
        ------
        AnswerCut
            If events of an earlier target have been passed on already.
        """
        if run.exchange.started:
            raise AnswerCut(f"the target answered {head.status} in the middle of a stream")
        run.settle_complete(pool)
        run.exchange.respond(head.status, _answer_headers(head), body)
        self._record_answered(run, head)

    def relay_stream(
        self, run: RequestRun, pool: PoolRecord, head: ResponseHead, pieces: Iterable[bytes]
    ) -> None:
        """Pass events on as they come; the head goes out with the first one.

        Raises
        ------
        AnswerCut, AttemptTimeout
            As the pieces do.
        """
        exchange = run.exchange
        for block in event_blocks(self.pacing.paced(pieces), run.last_id):
            if not exchange.started:
                exchange.start(head.status, _answer_headers(head))
                self._record_first_event(run)
            exchange.write(block.data)
            run.record_relayed(block.count, block.last_id)
        if not exchange.started:
            exchange.start(head.status, _answer_headers(head))
        run.settle_complete(pool)
        exchange.finish()
        self._record_answered(run, head)

    def _record_first_event(self, run: RequestRun) -> None:
        seconds = steady() - run.exchange.arrived
        self.metrics.first_byte.labels(str(run.route.kind)).observe(seconds)

    def _record_answered(self, run: RequestRun, head: ResponseHead) -> None:
        log_run(Event.REQUEST_ANSWERED, run, status=head.status, billed=run.billed_tokens)
        self.metrics.requests.labels(str(run.route.kind), str(head.status)).inc()


def _answer_headers(head: ResponseHead) -> Headers:
    """Return an answer's headers without those that frame it: the edge frames anew."""
    return [field for field in end_to_end_headers(head.headers) if field[0] != b"content-length"]
