"""What the membership asks of the instance that it speaks for, and tells it."""

from whinrack.dispatch import HallStatus
from whinrack.edge._options import HostPort
from whinrack.gossip import Message, RemovedTarget

__all__ = ["MembershipHost"]


class MembershipHost:
    """What the membership asks of the instance that it speaks for, and tells it."""

    def count_open_requests(self) -> int:
        """Return the requests in progress here."""
        raise NotImplementedError

    def is_serving_callers(self, now: float) -> bool:
        """Whether callers' requests come here, by the steady clock."""
        raise NotImplementedError

    def has_spendable_tokens(self) -> bool:
        """Whether there are unspent tokens here."""
        raise NotImplementedError

    def is_store_reachable(self) -> bool:
        """Whether the store can be reached from here."""
        raise NotImplementedError

    def has_recent_store_answer(self) -> bool:
        """Whether the store has answered a call from here lately."""
        raise NotImplementedError

    def recently_removed_targets(self) -> list[RemovedTarget]:
        """Return the targets whose records have gone lately."""
        raise NotImplementedError

    def merge_removed_targets(self, gone: list[RemovedTarget]) -> None:
        """Take in the targets that a peer knows to be gone."""
        raise NotImplementedError

    def merge_halls(self, statuses: list[HallStatus], peer: str) -> None:
        """Take in what a peer knows of emptied data halls."""
        raise NotImplementedError

    def handle_newer_configuration(self, peer: HostPort) -> None:
        """Learn that a peer has a newer configuration."""
        raise NotImplementedError

    def handle_store_reachable(self) -> None:
        """Learn that a peer reaches the store, after none did."""
        raise NotImplementedError

    def suspects_checksum(self) -> int:
        """Return the checksum of the requests that are suspected of ending targets."""
        raise NotImplementedError

    def compare_suspects(self, checksum: int, peer: HostPort) -> None:
        """Take in a peer's checksum of the requests that it suspects."""
        raise NotImplementedError

    def receive(self, message: Message, address: HostPort) -> None:
        """Take in a message that is not about who is there."""
        raise NotImplementedError
