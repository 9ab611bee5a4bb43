"""What the membership asks of this instance, and what peers tell it, led to whom it concerns."""

from typing import Protocol

from whinrack.budgets import GrantManager
from whinrack.clock import steady
from whinrack.dispatch import Dispatcher, HallStatus
from whinrack.edge._emptied_halls import HallKnowledge
from whinrack.edge._entry_selection import serves_callers
from whinrack.edge._knowledge import StoreKnowledge
from whinrack.edge._membership_host import MembershipHost
from whinrack.edge._options import EdgeOptions, HostPort
from whinrack.edge._store_availability import StoreContact
from whinrack.edge._suspects import SuspectExchange
from whinrack.edge._tokens import TokenExchange
from whinrack.gossip import Message, RemovedTarget, SuspectCases
from whinrack.store import MeteredStore

__all__ = ["HostedInstance", "InstanceHost"]

# The answer to a watch may be so late, beyond the time for which the watch is held.
_WATCH_MARGIN_SECONDS = 1.0


class HostedInstance(Protocol):
    """The parts of an instance that the membership asks and tells."""

    options: EdgeOptions
    dispatcher: Dispatcher
    keeper: GrantManager
    contact: StoreContact
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
        self._serves = False

    def open_requests(self) -> int:
        """Return the requests in progress here."""
        return self.instance.dispatcher.requests_in_progress

    def serves_callers(self, now: float) -> bool:
        """Whether callers' requests come here; the platform's probes are fewer."""
        rate = self.instance.dispatcher.arrivals.rate(now)
        self._serves = serves_callers(rate, self._serves)
        return self._serves

    def holds_tokens(self) -> bool:
        """Whether there are unspent tokens here."""
        return self.instance.keeper.has_spendable_tokens

    def reaches_store(self) -> bool:
        """Whether the store can be reached from here."""
        return self.instance.contact.answers and self.instance.keeper.is_store_reachable

    def confirms_store(self) -> bool:
        """Whether the store has answered a call from here lately."""
        silent = steady() - self.instance.store.last_answer_at
        longest = self.instance.options.watch_seconds + _WATCH_MARGIN_SECONDS
        return self.reaches_store() and silent < longest

    def gone_targets(self) -> list[RemovedTarget]:
        """Return the targets whose records have gone lately."""
        return self.instance.knowledge.gone_lately()

    def learn_gone_targets(self, gone: list[RemovedTarget]) -> None:
        """Take in the targets that a peer knows to be gone."""
        self.instance.knowledge.learn_gone(gone)

    def learn_halls(self, words: list[HallStatus], peer: str) -> None:
        """Take in what a peer knows of emptied data halls."""
        self.instance.halls.learn(words, peer)

    def hear_of_configuration(self, peer: HostPort) -> None:
        """Catch up with a peer that has a newer configuration."""
        self.instance.knowledge.suspect_configuration(peer)

    def hear_of_store(self) -> None:
        """Ask a lost store again, since a peer hears from it."""
        self.instance.knowledge.hear_of_store()

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
