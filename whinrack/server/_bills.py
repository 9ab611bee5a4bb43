"""Group commit of bills, and notification of the answers that wait for theirs."""

import eventlet
from eventlet.event import Event

from whinrack.clock import steady
from whinrack.journal import BillRecord, JournalWriter
from whinrack.store import TokenBucket

__all__ = ["BillKeeper"]

_RETRY_SECONDS = 0.2
_COMMIT_BURST = 5.0


class BillKeeper:
    """Commits bills to the journal in groups.

    Parameters
    ----------
    writer : JournalWriter
        This incarnation's journal.
    interval : float
        Mean seconds between two commits under load. Commits unused in a quiet time are
        saved up in a token bucket, so that a bill in that time is committed at once.
    """

    def __init__(self, writer: JournalWriter, interval: float):
        self.writer = writer
        self.interval = interval
        self._commit_rate = TokenBucket(rate=1.0 / interval, burst=_COMMIT_BURST)
        self._is_failing = False
        self._commit_requested = Event()
        self._committed = Event()

    def add(self, record: BillRecord) -> int:
        """Queue a bill for the next commit.

        Returns
        -------
        int
            The mark to pass to `wait_committed`.
        """
        mark = self.writer.add(record)
        self._request_commit()
        return mark

    def wait_committed(self, mark: int, seconds: float) -> bool:
        """Wait until a bill is committed.

        Returns at once while commits fail.

        Returns
        -------
        bool
            False if the bill was not committed within the given seconds.
        """
        end = steady() + seconds
        while self.writer.committed_count < mark:
            left = end - steady()
            if left <= 0 or self._is_failing:
                return False
            with eventlet.Timeout(left, False):
                self._committed.wait()
        return True

    def run(self) -> None:
        """Commit queued bills forever."""
        while True:
            self._commit_requested.wait()
            self._commit_requested = Event()
            eventlet.sleep(self._commit_rate.reserve(steady()))
            if not self.flush():
                eventlet.sleep(_RETRY_SECONDS)
                self._request_commit()

    def flush(self) -> bool:
        """Commit the queued bills now.

        Returns
        -------
        bool
            Whether the commit succeeded.
        """
        done = self.writer.commit()
        self._is_failing = not done
        event, self._committed = self._committed, Event()
        event.send(None)
        return done

    def _request_commit(self) -> None:
        if not self._commit_requested.ready():
            self._commit_requested.send(None)
