"""Answers that are kept while and after they run, so that a retry can join them."""

from collections import OrderedDict
from collections.abc import Iterator

from eventlet import Timeout
from eventlet.event import Event

from whinrack.exceptions import AnswerNotKept, PeerUnavailable
from whinrack.peers import AnswerPart

__all__ = ["AnswerCache", "SharedAnswer"]

_IDLE_TIMEOUT = 300.0


class SharedAnswer:
    """One answer, filled by whoever runs the request, read by any number of retries.

    Parameters
    ----------
    limit : int
        Bytes that are kept; a longer answer can't be joined from its start. 0 for an
        answer that nobody can ask for again.
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
        """Add a piece of the body; does nothing once the body was forgotten."""
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
        """End the answer."""
        self.is_finished = True
        self.is_complete = is_complete
        self._notify()

    def discard_body(self) -> None:
        """Forget the body."""
        self.is_kept = False
        self._chunks.clear()
        self._notify()

    def read(self) -> Iterator[AnswerPart]:
        """Yield the answer from its start, waiting for more until its end.

        Raises
        ------
        AnswerNotKept
            If the body was forgotten.
        PeerUnavailable
            If the answer ends without being whole.
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
                raise AnswerNotKept("the request ran; its answer is too long or too old to keep")
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
            raise PeerUnavailable("the answer was cut")
        yield AnswerPart(is_final=True)

    def _wait(self) -> None:
        with Timeout(_IDLE_TIMEOUT, PeerUnavailable("the answer fell silent")):
            self._changed.wait()

    def _notify(self) -> None:
        event, self._changed = self._changed, Event()
        event.send(None)


class AnswerCache:
    """Bounds the memory of all kept answers together; the oldest go first.

    Parameters
    ----------
    limit : int
        Bytes in all.
    """

    def __init__(self, limit: int):
        self.limit = limit
        self._finished: OrderedDict[int, SharedAnswer] = OrderedDict()
        self._size = 0

    def add(self, answer: SharedAnswer) -> None:
        """Count a finished answer, and drop older ones beyond the limit."""
        self._finished[id(answer)] = answer
        self._size += answer.size
        while self._size > self.limit and self._finished:
            _, oldest = self._finished.popitem(last=False)
            self._size -= oldest.size
            oldest.discard_body()
