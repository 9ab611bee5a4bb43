"""Non-blocking output of log lines to a pipe whose reader may be slow or absent."""

import os
from collections import deque

from whinrack.clock import steady

__all__ = ["BoundedLogWriter"]

_MAX_QUEUED_LINES = 2000


class BoundedLogWriter:
    """Queue of log lines that are written when the pipe has room.

    Lines beyond the rate limit or the queue limit are dropped.

    Parameters
    ----------
    descriptor : int
        File descriptor to write to; it is made non-blocking.
    lines_per_second : float
        Rate limit, with a burst of one second; lines beyond it are dropped and counted.

    Attributes
    ----------
    dropped : int
        Number of lines dropped so far, by either limit.
    """

    def __init__(self, descriptor: int, lines_per_second: float):
        self.descriptor = descriptor
        self.lines_per_second = lines_per_second
        self.dropped_lines = 0
        self._queued_lines: deque[bytes] = deque()
        self._unwritten = b""
        self._permits = lines_per_second
        self._refilled_at = steady()
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> None:
        """Queue a line, or drop it if a limit is reached; never block."""
        if not self._take_permit() or len(self._queued_lines) >= _MAX_QUEUED_LINES:
            self.dropped_lines += 1
            return
        self._queued_lines.append(text.encode("utf-8", "backslashreplace"))

    def write_pending(self) -> None:
        """Write queued lines until the pipe is full."""
        while self._unwritten or self._queued_lines:
            if not self._unwritten:
                self._unwritten = b"".join(self._queued_lines)
                self._queued_lines.clear()
            try:
                written = os.write(self.descriptor, self._unwritten)
            except OSError:
                return
            self._unwritten = self._unwritten[written:]

    def flush(self) -> None:
        """Do nothing; part of the file interface that log sinks need."""

    def _take_permit(self) -> bool:
        now = steady()
        refill = (now - self._refilled_at) * self.lines_per_second
        self._permits = min(self.lines_per_second, self._permits + refill)
        self._refilled_at = now
        if self._permits < 1.0:
            return False
        self._permits -= 1.0
        return True
