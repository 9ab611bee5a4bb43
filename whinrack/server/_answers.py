"""Answers that are kept during and after their run, so that retries can join them."""

from collections import OrderedDict
from collections.abc import Iterator

from eventlet import Timeout
from eventlet.event import Event

from whinrack.exceptions import AnswerNotKept, PeerUnavailable
from whinrack.peers import AnswerPart

__all__ = ["AnswerCache", "SharedAnswer"]

_IDLE_TIMEOUT = 300.0


class SharedAnswer:
    """One answer, written by the call that runs the request and read by its retries.

    Parameters
    ----------
    limit : int
        Maximum size of the kept body in bytes. The body of a longer answer is discarded,
        and retries can't join it. 0 for a request without a key, which has no retries.
    """

    def __init__(self, limit: int):
        self.limit = limit
        self.status = 0
        self.headers: tuple[tuple[str, str], ...] = ()
        self.size = 0
        self.is_finished = False
        self.is_complete = False
        self.is_kept = True
        self.reader_count = 0
        self._chunks: list[bytes] = []
        self._changed = Event()

    def start(self, status: int, headers: list[tuple[str, str]]) -> None:
        """Set the status and headers."""
        self.status = status
        self.headers = tuple(headers)
        self._notify()

    def append(self, data: bytes) -> None:
        """Add a part of the body; does nothing after the body was discarded."""
        if not self.is_kept:
            return
        self.size += len(data)
        if self.size > self.limit:
            self.discard_body()
            return
        self._chunks.append(data)
        if self.reader_count:
            self._notify()

    def finish(self, is_complete: bool) -> None:
        """Mark the end of the answer.

        Parameters
        ----------
        is_complete : bool
            False if the answer was cut.
        """
        self.is_finished = True
        self.is_complete = is_complete
        self._notify()

    def discard_body(self) -> None:
        """Discard the body, and all further parts of it."""
        self.is_kept = False
        self._chunks.clear()
        self._notify()

    def read(self) -> Iterator[AnswerPart]:
        """Yield the answer from its start, and wait for more until its end.

        Raises
        ------
        AnswerNotKept
            If the body was discarded.
        PeerUnavailable
            If the answer ends before it is complete, or stalls.
        """
        self.reader_count += 1
        try:
            yield from self._read()
        finally:
            self.reader_count -= 1

    def _read(self) -> Iterator[AnswerPart]:
        position = 0
        started = False
        while True:
            if not self.is_kept:
                raise AnswerNotKept("the request ran; its answer is too long or too old to be kept")
            if self.status and not started:
                started = True
                yield AnswerPart(status=self.status, headers=self.headers)
            fresh = self._chunks[position:]
            position += len(fresh)
            if fresh:
                yield AnswerPart(body=b"".join(fresh))
            elif self.is_finished:
                break
            else:
                self._wait()
        if not self.is_complete:
            raise PeerUnavailable("the answer ended before it was complete")
        yield AnswerPart(is_final=True)

    def _wait(self) -> None:
        with Timeout(_IDLE_TIMEOUT, PeerUnavailable("the answer stalled")):
            self._changed.wait()

    def _notify(self) -> None:
        event, self._changed = self._changed, Event()
        event.send(None)


class AnswerCache:
    """Bounds the total size of the finished answers by discarding the oldest.

    Parameters
    ----------
    limit : int
        Maximum total size in bytes.
    """

    def __init__(self, limit: int):
        self.limit = limit
        self._finished: OrderedDict[int, SharedAnswer] = OrderedDict()
        self._size = 0

    def add(self, answer: SharedAnswer) -> None:
        """Add a finished answer, and discard the oldest ones beyond the limit."""
        self._finished[id(answer)] = answer
        self._size += answer.size
        while self._size > self.limit and self._finished:
            _, oldest = self._finished.popitem(last=False)
            self._size -= oldest.size
            oldest.discard_body()
