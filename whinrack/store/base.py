"""Interface that every platform adapter and fake store implements."""

from collections.abc import Sequence
from functools import cached_property

from returns.result import Result

from whinrack.exceptions import PlatformFailure, ReplyLost, WriteUnknown
from whinrack.store._era import StoreEra
from whinrack.store._types import InstanceRecord, Snapshot, StoredObject, WatchBatch
from whinrack.store._unknown_fields import UnknownFields

__all__ = ["ObjectStore", "lost_reply_failure"]


def lost_reply_failure(method: str, why: str) -> PlatformFailure:
    """Return the failure of an HTTP call without a usable reply.

    After a lost reply it is unknown whether a write was applied.

    Parameters
    ----------
    method : str
        HTTP method of the call.
    why : str
        Reason for the error message.
    """
    if method == "GET":
        return ReplyLost(why)
    return WriteUnknown(f"reply lost: {why}")


class ObjectStore:
    """Versioned objects with conditional updates and watches.

    Every method returns a `Result`; its failure is a `PlatformFailure`. A write that
    fails with `WriteUnknown` may have taken effect.
    """

    @cached_property
    def era(self) -> StoreEra:
        """Era from which the store answers; 0 for a store that names none."""
        return StoreEra()

    @cached_property
    def unknown_fields(self) -> UnknownFields:
        """Fields of the store's answers that this client does not know."""
        return UnknownFields()

    def get(self, kind: str, name: str) -> Result[StoredObject, PlatformFailure]:
        """Read one object."""
        raise NotImplementedError

    def list(self, kinds: Sequence[str]) -> Result[Snapshot, PlatformFailure]:
        """Read all objects of some kinds at one revision."""
        raise NotImplementedError

    def put(
        self, kind: str, name: str, value: bytes, version: int
    ) -> Result[StoredObject, PlatformFailure]:
        """Write an object if it is at `version`; 0 means that it must not exist."""
        raise NotImplementedError

    def delete(self, kind: str, name: str, version: int) -> Result[None, PlatformFailure]:
        """Delete an object if it is at `version`."""
        raise NotImplementedError

    def watch(
        self, kinds: Sequence[str], since: int, wait: float
    ) -> Result[WatchBatch, PlatformFailure]:
        """Wait at most `wait` seconds for changes after the revision `since`."""
        raise NotImplementedError

    def instances(self) -> Result[tuple[InstanceRecord, ...], PlatformFailure]:
        """Read the instance list."""
        raise NotImplementedError
