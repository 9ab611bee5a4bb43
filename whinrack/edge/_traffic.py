"""How many bytes move between instances and to targets, by message and by data hall."""

from collections import Counter
from collections.abc import Callable
from enum import Enum

from whinrack.edge._options import HostPort

__all__ = ["Locality", "TrafficMeter"]


class Locality(Enum):
    """Where the other instance is."""

    OWN_HALL = "own_hall"
    OTHER_HALL = "other_hall"
    UNKNOWN = "unknown"


class TrafficMeter:
    """Counts messages and bytes that move between this instance and others, and targets.

    Datagrams are counted by who sends them, answers to questions by who asked: summed over
    all instances each byte is counted once.

    Parameters
    ----------
    own_hall : str
        The data hall of this instance.
    hall_of : callable
        Returns the data hall of the instance at an IP address, None if it isn't known.
    count_bytes : callable
        Called with the name of the message, its `Place` and its bytes.
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
        """Count a message to a data hall, or one from there; None if it isn't known."""
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
