"""Accounting of network traffic by kind of message and by locality."""

from collections import Counter
from collections.abc import Callable
from enum import Enum

from whinrack.edge._options import HostPort

__all__ = ["Locality", "TrafficMeter"]


class Locality(Enum):
    """Location of the other end, relative to the data hall of this instance."""

    OWN_HALL = "own_hall"
    OTHER_HALL = "other_hall"
    UNKNOWN = "unknown"


class TrafficMeter:
    """Counts the messages and bytes exchanged with other instances and with targets.

    Datagrams are counted by the sender and answers by the instance that requested them, so that
    each byte is counted once in the sum over all instances.

    Parameters
    ----------
    own_hall : str
        Data hall of this instance.
    hall_of : callable
        Returns the data hall of the instance at an IP address, None if unknown.
    count_bytes : callable
        Called with the name of the message, its `Locality` and its size in bytes.
    """

    def __init__(
        self,
        own_hall: str,
        hall_of: Callable[[str], str | None],
        count_bytes: Callable[[str, Locality, int], None],
    ):
        self.own_hall = own_hall
        self.hall_of = hall_of
        self.count_bytes = count_bytes
        self.messages: Counter[tuple[str, Locality]] = Counter()
        self.bytes: Counter[tuple[str, Locality]] = Counter()

    def record(self, name: str, address: HostPort, size: int) -> None:
        """Count a message to the instance at an address, or an answer from it."""
        self.record_for_hall(name, self.hall_of(address[0]), size)

    def record_for_hall(self, name: str, hall: str | None, size: int) -> None:
        """Count a message to or from a data hall, None if the hall is unknown."""
        locality = self._locality(hall)
        self.messages[name, locality] += 1
        self.bytes[name, locality] += size
        self.count_bytes(name, locality, size)

    def summary(self) -> str:
        """Return messages and bytes as text, for the log."""
        return " ".join(
            f"{name}/{locality.value}:{self.messages[name, locality]}:{size}"
            for (name, locality), size in sorted(self.bytes.items(), key=_name_and_locality)
        )

    def _locality(self, hall: str | None) -> Locality:
        if hall is None:
            return Locality.UNKNOWN
        return Locality.OWN_HALL if hall == self.own_hall else Locality.OTHER_HALL


def _name_and_locality(item: tuple[tuple[str, Locality], int]) -> tuple[str, str]:
    (name, locality), _ = item
    return name, locality.value
