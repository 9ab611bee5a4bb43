"""How long events of streams are collected before they are passed on together."""

from collections.abc import Iterable, Iterator

import eventlet

__all__ = ["StreamPacing"]

# Processor time to read and pass on one piece of a stream, seconds: 0.26 ms of a real daemon
# with 30 streams on a busy machine, less on a calm one.
_CPU_SECONDS_PER_PIECE = 0.0002
# Part of the processor that all streams together should take at most.
_MAX_CPU_FRACTION = 0.25
# Shorter pauses save nothing.
_MIN_PAUSE_SECONDS = 0.01


class StreamPacing:
    """Spaces the pieces of streams so that many of them don't use up the processor.

    A piece costs the same with one event in it as with five. The more streams are open for
    each core, the longer the pause after a piece, in which further events arrive.

    Parameters
    ----------
    cores : float
        Processor time that this instance may use, seconds a second; 0 if it isn't known.
    max_pause : float
        Most seconds that an event may be held; 0 for none.
    """

    def __init__(self, cores: float, max_pause: float):
        self.cores = cores or 1.0
        self.max_pause = max_pause
        self.open_streams = 0

    def pause(self) -> float:
        """Return the seconds to wait after a piece, 0 for none."""
        wanted = self.open_streams * _CPU_SECONDS_PER_PIECE / (_MAX_CPU_FRACTION * self.cores)
        return 0.0 if wanted < _MIN_PAUSE_SECONDS else min(self.max_pause, wanted)

    def paced(self, pieces: Iterable[bytes]) -> Iterator[bytes]:
        """Yield the pieces of one stream with pauses between them."""
        self.open_streams += 1
        try:
            for piece in pieces:
                yield piece
                seconds = self.pause()
                if seconds:
                    eventlet.sleep(seconds)
        finally:
            self.open_streams -= 1
