"""Fingerprints of requests, equal for repetitions of a request, and names of prompt parts."""

import hashlib
import re

__all__ = ["compute_fingerprint", "compute_part_name"]

# 64 bits: the probability that any two of 10^6 requests collide is 1 in 4 x 10^7.
_BYTES = 8
# Makes fingerprints differ from plain hashes of the same bytes that may be published elsewhere.
_KEY = b"whinrack request"
_POOL_BYTES = 4
# Callers choose the names of parts; others than these are replaced by a hash.
_READABLE_PART = re.compile(rb"[0-9A-Za-z_.]{1,40}")


def compute_fingerprint(host: str, target: bytes, workspace: str, body: bytes) -> str:
    """Return the fingerprint of requests with the same path, caller and body, as 16 hex digits.

    The request id is not included, because a caller that repeats a request uses a new one.

    Parameters
    ----------
    host : str
    target : bytes
        Path and query.
    workspace : str
        Workspace of the caller, empty on public routes.
    body : bytes

    Examples
    --------
    >>> once = compute_fingerprint("h", b"/x", "w", b"text")
    >>> again = compute_fingerprint("h", b"/x", "w", b"text")
    >>> once == again, once == compute_fingerprint("h", b"/x", "v", b"text")
    (True, False)
    """
    digest = hashlib.blake2b(digest_size=_BYTES, key=_KEY)
    for part in (host.encode(), target, workspace.encode(), body):
        # The length prefix prevents different lists of parts from giving the same bytes.
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


def compute_part_name(pool: str, part: bytes) -> str:
    """Return the name of a part of a prompt as the possible cause of ends of a pool's targets.

    Parameters
    ----------
    pool : str
    part : bytes
        Name of the part as callers give it.

    Examples
    --------
    >>> compute_part_name("lm", b"5c1e07a2")
    'part-5c1e07a2-f26b5980'
    """
    if _READABLE_PART.fullmatch(part) is not None:
        shown = part.decode()
    else:
        shown = hashlib.blake2b(part, digest_size=_BYTES, key=_KEY).hexdigest()
    digest = hashlib.blake2b(pool.encode(), digest_size=_POOL_BYTES, key=_KEY).hexdigest()
    return f"part-{shown}-{digest}"
