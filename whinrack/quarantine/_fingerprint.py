"""A name for a request that is the same each time it comes."""

import hashlib

__all__ = ["compute_fingerprint"]

# 64 bits: among 10^6 requests two share a name by chance once in 4 x 10^7 fleets.
_BYTES = 8
# Keeps the names apart from hashes of the same bytes that others may publish.
_KEY = b"whinrack request"


def compute_fingerprint(host: str, target: bytes, workspace: str, body: bytes) -> str:
    """Return the name of all requests with the same path, caller and body, as 16 hex digits.

    The id of a request is left out: a caller that comes again has a new one each time.

    Parameters
    ----------
    host : str
    target : bytes
        Path and query.
    workspace : str
        The caller, empty on public routes.
    body : bytes

    Examples
    --------
    >>> once = fingerprint("h", b"/x", "w", b"text")
    >>> once == fingerprint("h", b"/x", "w", b"text"), once == fingerprint("h", b"/x", "v", b"text")
    (True, False)
    """
    digest = hashlib.blake2b(digest_size=_BYTES, key=_KEY)
    for part in (host.encode(), target, workspace.encode(), body):
        # With its length, so that no two lists of parts give the same bytes.
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()
