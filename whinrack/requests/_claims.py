"""Claims on requests that may run at most once, made in the platform before they run.

A claim is created by a conditional write, so at most one incarnation holds it. It is never taken
over by another incarnation, since its holder may only be paused.
"""

import time
from collections.abc import Callable
from enum import StrEnum

import msgspec
from returns.result import Failure, Result, Success

from whinrack.exceptions import PlatformFailure
from whinrack.requests._identity import RequestIdentity
from whinrack.store import ObjectEditor, ObjectStore

__all__ = ["CLAIM_KIND", "ClaimStore", "ClaimStatus", "RequestClaim", "evaluate_claim"]

CLAIM_KIND = "RequestClaim"


class RequestClaim(msgspec.Struct, frozen=True):
    """Claim of an incarnation on a request that runs at most once.

    Attributes
    ----------
    digest : str
        Digest of the request body, hexadecimal.
    not_run : bool
        Whether the holder abandoned the request before anything was sent. It may then be claimed
        again.
    at : float
        Time of day of the claim, seconds since the epoch; used for clean-up only.
    """

    holder: str
    digest: str
    not_run: bool = False
    at: float = 0.0


class ClaimStore:
    """Makes and abandons claims.

    Parameters
    ----------
    store : ObjectStore
        Stores the claims.
    incarnation : str
        Incarnation that makes the claims.
    wall_clock : callable, optional
        Returns the seconds since the epoch.
    """

    def __init__(
        self,
        store: ObjectStore,
        incarnation: str,
        wall_clock: Callable[[], float] = time.time,
        **editor_options,
    ):
        self.store = store
        self.incarnation = incarnation
        self.wall_clock = wall_clock
        self._editor = ObjectEditor(store, CLAIM_KIND, RequestClaim, **editor_options)

    def claim(
        self, identity: RequestIdentity, digest: bytes
    ) -> Result[RequestClaim, PlatformFailure]:
        """Claim a request; return the claim in effect, which may be held by another incarnation."""
        own_claim = RequestClaim(self.incarnation, digest.hex(), at=self.wall_clock())

        def change(stored: RequestClaim | None) -> RequestClaim | None:
            if stored is None:
                return own_claim
            if stored.not_run and stored.digest == own_claim.digest:
                return own_claim
            return None

        return self._editor.apply(identity.request_id, change)

    def abandon(self, identity: RequestIdentity) -> Result[RequestClaim, PlatformFailure]:
        """Record that this holder has not run a claimed request and will not run it."""

        def change(stored: RequestClaim | None) -> RequestClaim | None:
            if stored is None or stored.holder != self.incarnation or stored.not_run:
                return None
            return RequestClaim(stored.holder, stored.digest, not_run=True, at=stored.at)

        return self._editor.apply(identity.request_id, change)


class ClaimStatus(StrEnum):
    """Meaning of a claim for the incarnation that tried to make it."""

    HELD = "mine"
    HELD_ELSEWHERE = "other"
    BODY_MISMATCH = "body_mismatch"


def evaluate_claim(
    result: Result[RequestClaim, PlatformFailure], incarnation: str, digest: bytes
) -> Result[ClaimStatus, PlatformFailure]:
    """Return what the claim in effect means for an incarnation."""
    if isinstance(result, Failure):
        return Failure(result.failure())
    claim = result.unwrap()
    if claim.digest != digest.hex():
        return Success(ClaimStatus.BODY_MISMATCH)
    if claim.holder != incarnation:
        return Success(ClaimStatus.HELD_ELSEWHERE)
    return Success(ClaimStatus.HELD)
