"""Buffer of bytes in blocks of bounded size."""

__all__ = ["BlockBuffer"]

_BLOCK_BYTES = 65_536


class BlockBuffer:
    """Collects bytes in blocks.

    Many buffers that each grow in one piece are moved again and again, and leave gaps in the heap
    that take several times the memory of their contents.

    Attributes
    ----------
    size : int
        Number of bytes collected.
    """

    def __init__(self):
        self.size = 0
        self._blocks: list[bytearray] = []

    def append(self, data: bytes) -> None:
        """Append some bytes."""
        self.size += len(data)
        if not self._blocks or len(self._blocks[-1]) >= _BLOCK_BYTES:
            self._blocks.append(bytearray())
        self._blocks[-1] += data

    def clear(self) -> None:
        """Free the memory of the buffer."""
        self.size = 0
        self._blocks.clear()

    def take(self) -> bytes:
        """Return all bytes, and clear the buffer."""
        data = b"".join(self._blocks)
        self.clear()
        return data
