"""Log lines on a pipe that may be read slowly, or not at all."""

import os
from collections import deque

from whinrack.clock import steady

__all__ = ["BoundedLogWriter"]

_MOST_WAITING = 2000


class BoundedLogWriter:
    """Takes lines at once and writes them when the pipe has room.

    Parameters
    ----------
    descriptor : int
        Where the lines go; it is made non-blocking.
    lines_per_second : float
        Lines beyond this rate are dropped and counted.

    Attributes
    ----------
    dropped : int
        Lines dropped so far, by rate or because nobody reads.
    """

    def __init__(self, descriptor: int, lines_per_second: float):
        self.descriptor = descriptor
        self.lines_per_second = lines_per_second
        self.dropped_lines = 0
        self._lines: deque[bytes] = deque()
        self._rest = b""
        self._saved = lines_per_second
        self._at = steady()
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> None:
        """Take a line; never blocks."""
        if not self._permit() or len(self._lines) >= _MOST_WAITING:
            self.dropped_lines += 1
            return
        self._lines.append(text.encode("utf-8", "backslashreplace"))

    def write_pending(self) -> None:
        """Write what the pipe takes now."""
        while self._rest or self._lines:
            if not self._rest:
                self._rest = b"".join(self._lines)
                self._lines.clear()
            try:
                written = os.write(self.descriptor, self._rest)
            except OSError:
                return
            self._rest = self._rest[written:]

    def flush(self) -> None:
        """Nothing is held back on purpose."""

    def _permit(self) -> bool:
        now = steady()
        earned = (now - self._at) * self.lines_per_second
        self._saved = min(self.lines_per_second, self._saved + earned)
        self._at = now
        if self._saved < 1.0:
            return False
        self._saved -= 1.0
        return True
