"""How many bytes move between instances and to targets, by message and by data hall."""

from collections import Counter
from collections.abc import Callable
from enum import Enum

from whinrack.edge._options import HostPort

__all__ = ["Place", "TrafficMeter"]


class Place(Enum):
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
    count : callable
        Called with the name of the message, its `Place` and its bytes.
    """

    def __init__(
        self,
        own_hall: str,
        hall_of: Callable[[str], str | None],
        count: Callable[[str, Place, int], None],
    ):
        self.own_hall = own_hall
        self.hall_of = hall_of
        self.count = count
        self.messages: Counter[tuple[str, Place]] = Counter()
        self.bytes: Counter[tuple[str, Place]] = Counter()

    def moved(self, name: str, address: HostPort, size: int) -> None:
        """Count a message to the instance at an address, or an answer from it."""
        self.moved_to_hall(name, self.hall_of(address[0]), size)

    def moved_to_hall(self, name: str, hall: str | None, size: int) -> None:
        """Count a message to a data hall, or one from there; None if it isn't known."""
        place = self._place(hall)
        self.messages[name, place] += 1
        self.bytes[name, place] += size
        self.count(name, place, size)

    def summary(self) -> str:
        """Return messages and bytes as text, for the log."""
        return " ".join(
            f"{name}/{place.value}:{self.messages[name, place]}:{size}"
            for (name, place), size in sorted(self.bytes.items(), key=_by_name)
        )

    def _place(self, hall: str | None) -> Place:
        if hall is None:
            return Place.UNKNOWN
        return Place.OWN_HALL if hall == self.own_hall else Place.OTHER_HALL


def _by_name(item: tuple[tuple[str, Place], int]) -> tuple[str, str]:
    (name, place), _ = item
    return name, place.value
