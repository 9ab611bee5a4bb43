"""What the membership asks of this instance, and what peers tell it, led to whom it concerns."""

from typing import Protocol

from whinrack.budgets import GrantManager
from whinrack.clock import steady
from whinrack.dispatch import Dispatcher, HallStatus
from whinrack.edge._emptied_halls import HallKnowledge
from whinrack.edge._entry_selection import is_serving_callers
from whinrack.edge._knowledge import StoreKnowledge
from whinrack.edge._membership_host import MembershipHost
from whinrack.edge._options import EdgeOptions, HostPort
from whinrack.edge._store_availability import StoreAvailability
from whinrack.edge._suspects import SuspectExchange
from whinrack.edge._tokens import TokenExchange
from whinrack.gossip import Message, RemovedTarget, SuspectCases
from whinrack.store import MeteredStore

__all__ = ["HostedInstance", "InstanceHost"]

# The answer to a watch may be so late, beyond the time for which the watch is held.
_WATCH_REPLY_MARGIN_SECONDS = 1.0


class HostedInstance(Protocol):
    """The parts of an instance that the membership asks and tells."""

    options: EdgeOptions
    dispatcher: Dispatcher
    grant_manager: GrantManager
    availability: StoreAvailability
    store: MeteredStore
    knowledge: StoreKnowledge
    halls: HallKnowledge
    suspects: SuspectExchange
    tokens: TokenExchange


class InstanceHost(MembershipHost):
    """Speaks for one instance.

    Parameters
    ----------
    instance : HostedInstance
    """

    def __init__(self, instance: HostedInstance):
        self.instance = instance
        self._is_serving = False

    def count_open_requests(self) -> int:
        """Return the requests in progress here."""
        return self.instance.dispatcher.requests_in_progress

    def is_serving_callers(self, now: float) -> bool:
        """Whether callers' requests come here; the platform's probes are fewer."""
        rate = self.instance.dispatcher.arrivals.rate(now)
        self._is_serving = is_serving_callers(rate, self._is_serving)
        return self._is_serving

    def has_spendable_tokens(self) -> bool:
        """Whether there are unspent tokens here."""
        return self.instance.grant_manager.has_spendable_tokens

    def is_store_reachable(self) -> bool:
        """Whether the store can be reached from here."""
        return (
            self.instance.availability.is_available
            and self.instance.grant_manager.is_store_reachable
        )

    def has_recent_store_answer(self) -> bool:
        """Whether the store has answered a call from here lately."""
        silent = steady() - self.instance.store.last_answer_at
        longest = self.instance.options.watch_seconds + _WATCH_REPLY_MARGIN_SECONDS
        return self.is_store_reachable() and silent < longest

    def recently_removed_targets(self) -> list[RemovedTarget]:
        """Return the targets whose records have gone lately."""
        return self.instance.knowledge.recently_removed()

    def merge_removed_targets(self, gone: list[RemovedTarget]) -> None:
        """Take in the targets that a peer knows to be gone."""
        self.instance.knowledge.merge_removed(gone)

    def merge_halls(self, statuses: list[HallStatus], peer: str) -> None:
        """Take in what a peer knows of emptied data halls."""
        self.instance.halls.merge(statuses, peer)

    def handle_newer_configuration(self, peer: HostPort) -> None:
        """Catch up with a peer that has a newer configuration."""
        self.instance.knowledge.catch_up(peer)

    def handle_store_reachable(self) -> None:
        """Ask a lost store again, since a peer hears from it."""
        self.instance.knowledge.handle_store_reachable()

    def receive(self, message: Message, address: HostPort) -> None:
        """Take in a peer's message about suspected requests, or about tokens."""
        if isinstance(message, SuspectCases):
            self.instance.suspects.receive(message, address)
        else:
            self.instance.tokens.receive(message, address)

    def suspects_checksum(self) -> int:
        """Return the checksum of the requests that are suspected of ending targets."""
        return self.instance.suspects.checksum()

    def compare_suspects(self, checksum: int, peer: HostPort) -> None:
        """Catch up with a peer that suspects other requests."""
        self.instance.suspects.compare(checksum, peer)
