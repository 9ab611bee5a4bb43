"""Interface between the membership and the instance that it represents."""

from whinrack.dispatch import HallStatus
from whinrack.edge._options import HostPort
from whinrack.gossip import Message, RemovedTarget

__all__ = ["MembershipHost"]


class MembershipHost:
    """Provides the state of an instance to the membership and receives its events."""

    def count_open_requests(self) -> int:
        """Return the number of requests in progress."""
        raise NotImplementedError

    def is_serving_callers(self, now: float) -> bool:
        """Return whether callers send requests here, at a time of the steady clock."""
        raise NotImplementedError

    def has_spendable_tokens(self) -> bool:
        """Return whether this instance holds unspent tokens."""
        raise NotImplementedError

    def is_store_reachable(self) -> bool:
        """Return whether the store can be reached."""
        raise NotImplementedError

    def has_recent_store_answer(self) -> bool:
        """Return whether the store has answered a call recently."""
        raise NotImplementedError

    def recently_removed_targets(self) -> list[RemovedTarget]:
        """Return the targets whose records were deleted recently."""
        raise NotImplementedError

    def merge_removed_targets(self, removed: list[RemovedTarget]) -> None:
        """Remove the targets that a peer reports as deleted."""
        raise NotImplementedError

    def merge_halls(self, statuses: list[HallStatus], peer: str) -> None:
        """Apply a peer's statements on emptied data halls."""
        raise NotImplementedError

    def handle_newer_configuration(self, peer: HostPort) -> None:
        """Handle that a peer has a newer configuration."""
        raise NotImplementedError

    def handle_store_reachable(self) -> None:
        """Handle that a peer reaches the store after no instance did."""
        raise NotImplementedError

    def suspects_checksum(self) -> int:
        """Return the checksum of the requests that are suspected of crashing targets."""
        raise NotImplementedError

    def compare_suspects(self, checksum: int, peer: HostPort) -> None:
        """Compare a peer's checksum of suspected requests with the own one."""
        raise NotImplementedError

    def receive(self, message: Message, address: HostPort) -> None:
        """Handle a message that does not concern the membership."""
        raise NotImplementedError
