"""Claims: a request that may not be repeated is claimed in the platform before it runs.

A claim is a conditional create, so one incarnation at most holds it. It is never taken
over: its holder may only be paused.
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
    """Who may run a request that runs at most once.

    Attributes
    ----------
    digest : str
        Of the request's body, hexadecimal.
    not_run : bool
        The holder gave the request up before anything was sent; it may be claimed anew.
    at : float
        Wall clock time of the claim, seconds since the epoch; for clean-up only.
    """

    holder: str
    digest: str
    not_run: bool = False
    at: float = 0.0


class ClaimStore:
    """Makes and gives up claims.

    Parameters
    ----------
    store : ObjectStore
        Where claims are kept.
    incarnation : str
        Who claims.
    wall_clock : callable, optional
        Seconds since the epoch.
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
        """Claim a request; returns the claim that stands, which may be another's."""
        own_claim = RequestClaim(self.incarnation, digest.hex(), at=self.wall_clock())

        def change(stored: RequestClaim | None) -> RequestClaim | None:
            if stored is None:
                return own_claim
            if stored.not_run and stored.digest == own_claim.digest:
                return own_claim
            return None

        return self._editor.apply(identity.request_id, change)

    def abandon(self, identity: RequestIdentity) -> Result[RequestClaim, PlatformFailure]:
        """Say that a claimed request was not run and won't be, by this holder."""

        def change(stored: RequestClaim | None) -> RequestClaim | None:
            if stored is None or stored.holder != self.incarnation or stored.not_run:
                return None
            return RequestClaim(stored.holder, stored.digest, not_run=True, at=stored.at)

        return self._editor.apply(identity.request_id, change)


class ClaimStatus(StrEnum):
    """What a claim means for the incarnation that asked."""

    HELD = "mine"
    HELD_ELSEWHERE = "other"
    BODY_MISMATCH = "body_mismatch"


def evaluate_claim(
    result: Result[RequestClaim, PlatformFailure], incarnation: str, digest: bytes
) -> Result[ClaimStatus, PlatformFailure]:
    """Tell what the standing claim means for an incarnation."""
    if isinstance(result, Failure):
        return Failure(result.failure())
    claim = result.unwrap()
    if claim.digest != digest.hex():
        return Success(ClaimStatus.BODY_MISMATCH)
    if claim.holder != incarnation:
        return Success(ClaimStatus.HELD_ELSEWHERE)
    return Success(ClaimStatus.HELD)
