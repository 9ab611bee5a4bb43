"""Decoder of chunked request bodies whose cost per chunk is small."""

import re

from whinrack.exceptions import BadRequest, BodyTooLarge, HeadersTooLarge
from whinrack.http1._block_buffer import BlockBuffer

__all__ = ["ChunkedBody"]

# Size in hexadecimal digits and an optional extension, as in RFC 9112.
_CHUNK_HEAD = re.compile(rb"([0-9A-Fa-f]{1,20})[ \t]*(?:;[^\r\n]*)?\r\n")
_LINE_END = b"\r\n"


class ChunkedBody:
    """Collects the data of a chunked body up to the head of its last chunk.

    Parameters
    ----------
    max_bytes : int
        Maximum size of the body.
    max_head_bytes : int
        Maximum size of the head of a chunk, with its extension.

    Attributes
    ----------
    data : BlockBuffer
        The data decoded so far.
    chunk_count : int
        Number of chunks whose heads have been decoded.
    has_ended : bool
        Whether the head of the last chunk has been decoded; its trailers follow.
    """

    def __init__(self, max_bytes: int, max_head_bytes: int):
        self.max_bytes = max_bytes
        self.max_head_bytes = max_head_bytes
        self.data = BlockBuffer()
        self.chunk_count = 0
        self.has_ended = False
        self._left_in_chunk = 0
        self._is_at_chunk_end = False

    def decode(self, received: bytes) -> bytes:
        """Decode received bytes.

        Returns
        -------
        bytes
            What can't be decoded yet, or follows the head of the last chunk.

        Raises
        ------
        BadRequest
            If the framing is malformed.
        BodyTooLarge
            If a chunk would exceed the maximum size of the body.
        HeadersTooLarge
            If the head of a chunk exceeds its maximum size.
        """
        position = 0
        while not self.has_ended:
            if self._left_in_chunk:
                piece = received[position : position + self._left_in_chunk]
                self.data.append(piece)
                position += len(piece)
                self._left_in_chunk -= len(piece)
                if self._left_in_chunk:
                    break
                self._is_at_chunk_end = True
            if self._is_at_chunk_end:
                if received[position : position + len(_LINE_END)] != _LINE_END:
                    self._check_incomplete_line_end(received[position:])
                    break
                position += len(_LINE_END)
                self._is_at_chunk_end = False
            head = _CHUNK_HEAD.match(received, position)
            if head is None:
                self._check_incomplete_head(received[position:])
                break
            position = head.end()
            self._begin_chunk(int(head[1], 16))
        return received[position:]

    def _begin_chunk(self, size: int) -> None:
        if self.data.size + size > self.max_bytes:
            raise BodyTooLarge(f"request body exceeds {self.max_bytes} bytes")
        self.chunk_count += 1
        self._left_in_chunk = size
        self.has_ended = size == 0

    def _check_incomplete_line_end(self, rest: bytes) -> None:
        if not _LINE_END.startswith(rest):
            raise BadRequest("a chunk is longer than it states")

    def _check_incomplete_head(self, rest: bytes) -> None:
        if len(rest) > self.max_head_bytes:
            raise HeadersTooLarge(f"the head of a chunk exceeds {self.max_head_bytes} bytes")
        if b"\n" in rest:
            raise BadRequest("the head of a chunk is malformed")
