"""Streamed bodies to callers: disconnects, and joined answers of other attempts."""

from collections.abc import Iterator

import eventlet

from whinrack.clock import steady
from whinrack.exceptions import PeerUnavailable, Refusal, TargetFailed
from whinrack.peers import AnswerPart
from whinrack.server._call import Call
from whinrack.server._http import HttpAnswer, error_body

__all__ = ["CallerStream", "joined_answer"]


class CallerStream:
    """A streamed body to a caller.

    When the caller disconnects, an answer without an idempotency key is ended at once, as no
    retry can join it. An answer with a key continues for a while, so that a retry can join
    it; one of a request that may not be repeated continues to its end.

    Parameters
    ----------
    grace : float
        Seconds for which an answer with a key continues without a reader.
    """

    def __init__(self, call: Call, body: Iterator[bytes], grace: float):
        self.call = call
        self.body = body
        self.grace = grace

    def __iter__(self) -> Iterator[bytes]:
        return self.body

    def close(self) -> None:
        """End or detach the body; the WSGI server always calls this."""
        if self.call.has_ended or not self.call.identity.has_caller_key:
            self.body.close()
            return
        eventlet.spawn_n(self._run_detached)

    def _run_detached(self) -> None:
        end = steady() + self.grace
        for _ in self.body:
            if self.call.answer.reader_count or not self.call.is_repeatable:
                end = steady() + self.grace
            if steady() >= end:
                break
        self.body.close()


def joined_answer(parts: Iterator[AnswerPart]) -> HttpAnswer:
    """Build an answer for this caller from the parts of another attempt's answer."""
    first = next(parts)
    headers = [*first.headers, ("Whinrack-Joined", "yes")]
    if any(name.lower() == "content-length" for name, _ in headers):
        body = b"".join(part.body for part in parts)
        return HttpAnswer(first.status, headers, [body])
    return HttpAnswer(first.status, headers, _joined_stream(parts))


def _joined_stream(parts: Iterator) -> Iterator[bytes]:
    try:
        for part in parts:
            if part.body:
                yield part.body
    except (PeerUnavailable, Refusal) as error:
        refusal = error if isinstance(error, Refusal) else TargetFailed(error.message)
        yield b"data: " + error_body(refusal) + b"\n\n"
