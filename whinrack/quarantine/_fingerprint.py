"""Fingerprints of requests, equal for repetitions of a request."""

import hashlib

__all__ = ["compute_fingerprint"]

# 64 bits: the probability that any two of 10^6 requests collide is 1 in 4 x 10^7.
_BYTES = 8
# Makes fingerprints differ from plain hashes of the same bytes that may be published elsewhere.
_KEY = b"whinrack request"


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
