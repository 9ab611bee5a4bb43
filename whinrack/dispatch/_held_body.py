"""Bodies that are held until they are whole, up to a maximum size."""

from collections.abc import Callable, Iterator

__all__ = ["hold_body"]

# Size up to which a body is held. Longer ones are relayed as they arrive, so that what an instance
# holds stays bounded; they cannot be requested again from another target once that has begun.
_MAX_HELD_BYTES = 1_048_576


def hold_body(pieces: Iterator[bytes], try_hold: Callable[[int], bool]) -> tuple[bytes, bool]:
    """Collect the pieces of a body.

    Parameters
    ----------
    pieces : iterator of bytes
    try_hold : callable
        Returns whether there is memory for a piece of a size in bytes; see `Exchange.try_hold`.

    Returns
    -------
    tuple of bytes and bool
        The body and whether it is whole. If not, its further pieces are left in the iterator.
    """
    held, size = [], 0
    for piece in pieces:
        held.append(piece)
        size += len(piece)
        if size > _MAX_HELD_BYTES or not try_hold(len(piece)):
            return b"".join(held), False
    return b"".join(held), True
