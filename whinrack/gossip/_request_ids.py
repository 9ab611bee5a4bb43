"""Ids of requests to peers."""

import itertools
import secrets
from collections.abc import Iterator

__all__ = ["request_ids"]

_FIRST_ID_BITS = 48


def request_ids() -> Iterator[int]:
    """Return an iterator over ids for the requests of this process.

    It begins at a random number: a late reply to an earlier process of the same instance would
    otherwise be taken for the reply to one of its own requests. The ids are positive.
    """
    return itertools.count(1 + secrets.randbits(_FIRST_ID_BITS))
