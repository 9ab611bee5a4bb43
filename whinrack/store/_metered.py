"""Store wrapper that counts calls by operation and result."""

from collections import Counter
from collections.abc import Callable, Sequence

from returns.result import Failure, Result, Success

from whinrack.clock import steady
from whinrack.exceptions import Conflict, NotFound, PlatformFailure
from whinrack.store._types import Snapshot, StoredObject, WatchBatch
from whinrack.store.base import ObjectStore

__all__ = ["MeteredStore"]

_OK = "ok"


class MeteredStore(ObjectStore):
    """Forwards calls to another store and counts them.

    Parameters
    ----------
    store : ObjectStore
    on_call : callable
        Called with the operation and the result of each call.

    Attributes
    ----------
    calls : Counter
        Number of calls by (operation, result). Operations include the kinds of objects, such as
        "get books".
    bytes : Counter
        Bytes of the objects' values that were sent or received, by operation.
    last_answer_at : float
        Steady clock at the last answer of the store, including "not found" and conflicts.
    last_failure : str
        The last operation that failed, and the reason.
    """

    def __init__(self, store: ObjectStore, on_call: Callable[[str, str], None]):
        self.store = store
        self.on_call = on_call
        self.calls: Counter[tuple[str, str]] = Counter()
        self.bytes: Counter[str] = Counter()
        self.last_answer_at = float("-inf")
        self.last_failure = ""
        self.era = store.era
        self.unknown_fields = store.unknown_fields

    def get(self, kind: str, name: str) -> Result[StoredObject, PlatformFailure]:
        """Read one object."""
        return self._record(f"get {kind}", self.store.get(kind, name))

    def list(self, kinds: Sequence[str]) -> Result[Snapshot, PlatformFailure]:
        """Read all objects of some kinds at one revision."""
        return self._record(_operation_name("list", kinds), self.store.list(kinds))

    def put(
        self, kind: str, name: str, value: bytes, version: int
    ) -> Result[StoredObject, PlatformFailure]:
        """Write an object if it is at `version`."""
        self.bytes[f"put {kind}"] += len(value)
        return self._record(f"put {kind}", self.store.put(kind, name, value, version))

    def delete(self, kind: str, name: str, version: int) -> Result[None, PlatformFailure]:
        """Delete an object if it is at `version`."""
        return self._record(f"delete {kind}", self.store.delete(kind, name, version))

    def watch(
        self, kinds: Sequence[str], since: int, wait: float
    ) -> Result[WatchBatch, PlatformFailure]:
        """Wait at most `wait` seconds for changes after the revision `since`."""
        return self._record(_operation_name("watch", kinds), self.store.watch(kinds, since, wait))

    def format_calls(self) -> str:
        """Return the numbers of calls as text for the log."""
        return ", ".join(f"{name}/{result}:{n}" for (name, result), n in self.calls.items())

    def format_bytes(self) -> str:
        """Return the numbers of bytes as text for the log."""
        return ", ".join(f"{name}:{size}" for name, size in self.bytes.items())

    def _record(self, operation: str, result: Result) -> Result:
        outcome = result.failure().code if isinstance(result, Failure) else _OK
        self.calls[operation, outcome] += 1
        self.bytes[operation] += _value_bytes(result)
        if isinstance(result, Success) or isinstance(result.failure(), NotFound | Conflict):
            self.last_answer_at = steady()
        else:
            self.last_failure = f"{operation}: {result.failure().message}"
        self.on_call(operation, outcome)
        return result


def _operation_name(operation: str, kinds: Sequence[str]) -> str:
    return f"{operation} {'+'.join(kinds)}"


def _value_bytes(result: Result) -> int:
    """Return the size of the values in an answer; a conflict contains the current object."""
    if isinstance(result, Failure):
        current = result.failure().current if isinstance(result.failure(), Conflict) else None
        return len(current.value) if current is not None else 0
    answer = result.unwrap()
    if isinstance(answer, Snapshot | WatchBatch):
        return sum(len(stored.value) for stored in answer.objects)
    return 0 if answer is None else len(answer.value)
